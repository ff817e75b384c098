package io.cardamomshelf.node.store;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.node.port.StoreException;
import io.cardamomshelf.node.port.StoredRecord;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The workers that a scheduler may have given runs to, as stored.
 *
 * <p>Use: a new scheduler asks each of them before it starts again what it inherited. A worker is
 * stored before its first run, so that one whose registry entry has lapsed is still known.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class Roster {

    private final Map<WorkerId, WorkerInfo> workers = new LinkedHashMap<>();

    /**
     * Returns the workers.
     *
     * @return their entries as they were when stored, never null
     */
    public Collection<WorkerInfo> all() {
        return List.copyOf(workers.values());
    }

    void apply(StoredRecord record) throws StoreException {
        WorkerId id = JobRecords.worker(record);
        if (record.isDrop()) {
            workers.remove(id);
        } else {
            workers.put(id, JobRecords.read(record, WorkerInfo.class));
        }
    }
}
