package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.SchedulerState;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.node.store.JobRecords;
import io.cardamomshelf.node.store.Roster;
import io.cardamomshelf.node.store.SchedulerLog;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Stores each worker before it gets its first run, and drops those that are gone.
 *
 * <p>Use: {@code admit} at each entry read. A worker is open to starts once it is stored, so that
 * the next scheduler knows every worker that may run something, whatever the registry says then.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class RosterWriter {

    private final SchedulerLog log;
    private final SchedulerState board;
    private final Runnable changed;
    private final Map<WorkerId, Endpoint> stored = new HashMap<>();
    private final Map<WorkerId, Endpoint> sent = new HashMap<>();

    RosterWriter(SchedulerLog log, SchedulerState board, Runnable changed) {
        this.log = log;
        this.board = board;
        this.changed = changed;
    }

    /** Takes what is stored already. */
    void load(Roster roster) {
        roster.all().forEach(info -> stored.put(info.id(), info.endpoint()));
    }

    void admit(WorkerInfo info) {
        if (info.endpoint().equals(stored.get(info.id()))) {
            board.admit(info.id());
        } else if (!info.endpoint().equals(sent.put(info.id(), info.endpoint()))) {
            log.append(List.of(JobRecords.worker(info)), () -> admitted(info));
        }
    }

    /** Drops workers that aren't registered and of which nothing can be left. */
    void clean(Set<WorkerId> listed) {
        for (WorkerId id : new ArrayList<>(stored.keySet())) {
            if (!listed.contains(id) && !board.isOccupied(id) && !board.isWatched(id)) {
                stored.remove(id);
                sent.remove(id);
                log.append(List.of(JobRecords.workerDropped(id)), () -> {});
            }
        }
    }

    private void admitted(WorkerInfo info) {
        stored.put(info.id(), info.endpoint());
        board.admit(info.id());
        changed.run();
    }
}
