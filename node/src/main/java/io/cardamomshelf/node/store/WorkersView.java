package io.cardamomshelf.node.store;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.node.port.RecordDecoder;
import io.cardamomshelf.node.port.StoredRecord;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The registered workers.
 *
 * <p>Use: a {@link StreamFollower} applies the records of the workers' stream to it. A worker whose
 * entry has lapsed isn't in this view, though it may still have runs; the {@link Roster} contains
 * it.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class WorkersView implements StreamFollower.Fold {

    /** Is notified of changes. */
    public interface Listener {

        /**
         * Called when an entry is new or was renewed.
         *
         * @param info the entry, not null
         */
        void workerRegistered(WorkerInfo info);

        /**
         * Called when an entry was removed.
         *
         * @param id the worker, not null
         */
        void workerUnregistered(WorkerId id);
    }

    private final RecordDecoder decoder;
    private final Listener listener;
    private final Map<WorkerId, WorkerInfo> registered = new LinkedHashMap<>();

    /**
     * Creates an empty view.
     *
     * @param decoder decodes the records, not null
     * @param listener is notified of changes, not null
     */
    public WorkersView(RecordDecoder decoder, Listener listener) {
        this.decoder = decoder;
        this.listener = listener;
    }

    /**
     * Returns the registered workers.
     *
     * @return their entries, never null
     */
    public Collection<WorkerInfo> registered() {
        return List.copyOf(registered.values());
    }

    @Override
    public void replace(List<StoredRecord> records) {
        Set<WorkerId> missing = new HashSet<>(registered.keySet());
        for (StoredRecord record : records) {
            applyRecord(record).ifPresent(missing::remove);
        }
        missing.forEach(this::remove);
    }

    @Override
    public void apply(StoredRecord record) {
        applyRecord(record);
    }

    private Optional<WorkerId> applyRecord(StoredRecord record) {
        Optional<WorkerInfo> info =
                record.isTombstone() ? Optional.empty() : decoder.worker(record);
        if (info.isEmpty()) {
            registered.keySet().stream()
                    .filter(id -> id.value().equals(record.key()))
                    .findFirst()
                    .ifPresent(this::remove);
            return Optional.empty();
        }
        WorkerId id = info.get().id();
        registered.put(id, info.get());
        listener.workerRegistered(info.get());
        return Optional.of(id);
    }

    private void remove(WorkerId id) {
        if (registered.remove(id) != null) {
            listener.workerUnregistered(id);
        }
    }
}
