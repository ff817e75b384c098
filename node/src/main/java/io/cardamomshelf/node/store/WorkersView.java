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
 * The workers as they registered themselves.
 *
 * <p>Use: the fold of the workers' stream. An entry that has gone is remembered for a while, as a
 * worker whose entry lapsed may still run what it was given.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class WorkersView implements StreamFollower.Fold {

    /** Hears what changes. */
    public interface Listener {

        /**
         * Hears of an entry that is new or was renewed.
         *
         * @param info the entry, not null
         */
        void workerListed(WorkerInfo info);

        /**
         * Hears of an entry that is gone.
         *
         * @param id the worker, not null
         */
        void workerUnlisted(WorkerId id);
    }

    private final RecordDecoder decoder;
    private final Listener listener;
    private final Map<WorkerId, WorkerInfo> listed = new LinkedHashMap<>();

    /**
     * Creates a view of nothing.
     *
     * @param decoder reads the records, not null
     * @param listener hears what changes, not null
     */
    public WorkersView(RecordDecoder decoder, Listener listener) {
        this.decoder = decoder;
        this.listener = listener;
    }

    /**
     * Returns the workers that are registered.
     *
     * @return their entries, never null
     */
    public Collection<WorkerInfo> listed() {
        return List.copyOf(listed.values());
    }

    @Override
    public void replace(List<StoredRecord> records) {
        Set<WorkerId> before = new HashSet<>(listed.keySet());
        for (StoredRecord record : records) {
            take(record).ifPresent(before::remove);
        }
        before.forEach(this::drop);
    }

    @Override
    public void apply(StoredRecord record) {
        take(record);
    }

    private Optional<WorkerId> take(StoredRecord record) {
        Optional<WorkerInfo> info = record.isDrop() ? Optional.empty() : decoder.worker(record);
        if (info.isEmpty()) {
            listed.keySet().stream()
                    .filter(id -> id.value().equals(record.key()))
                    .findFirst()
                    .ifPresent(this::drop);
            return Optional.empty();
        }
        WorkerId id = info.get().id();
        listed.put(id, info.get());
        listener.workerListed(info.get());
        return Optional.of(id);
    }

    private void drop(WorkerId id) {
        if (listed.remove(id) != null) {
            listener.workerUnlisted(id);
        }
    }
}
