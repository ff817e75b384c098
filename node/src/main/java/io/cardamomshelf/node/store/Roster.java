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
 * The stored workers that may have runs.
 *
 * <p>Use: a new scheduler reads the runs of each of them before it restarts tasks that it took
 * over. A worker is stored before its first run, so that it is found even if its registry entry has
 * lapsed.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class Roster {

    private final Map<WorkerId, WorkerInfo> workers = new LinkedHashMap<>();

    /**
     * Returns the workers.
     *
     * @return their registry entries at the time they were stored, never null
     */
    public Collection<WorkerInfo> workers() {
        return List.copyOf(workers.values());
    }

    /**
     * Returns whether another incarnation of a worker is stored than the one of an entry, so that
     * the scheduler which stored it may not have known that the worker has restarted.
     *
     * @param entry the entry, not null
     * @return false also if the worker isn't stored
     */
    public boolean isStoredWithOtherIncarnation(WorkerInfo entry) {
        WorkerInfo stored = workers.get(entry.id());
        return stored != null && stored.bornMillis() != entry.bornMillis();
    }

    void apply(StoredRecord record) throws StoreException {
        WorkerId id = JobRecords.workerId(record);
        if (record.isTombstone()) {
            workers.remove(id);
        } else {
            workers.put(id, JobRecords.read(record, WorkerInfo.class));
        }
    }
}
