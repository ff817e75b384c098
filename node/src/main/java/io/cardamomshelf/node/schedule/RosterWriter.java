package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.SchedulerState;
import io.cardamomshelf.core.schedule.Voters;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.node.store.JobRecords;
import io.cardamomshelf.node.store.Roster;
import io.cardamomshelf.node.store.SchedulerAppender;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Stores each worker before it gets its first run, and drops workers that are no longer needed.
 *
 * <p>Use: {@link SchedulerTerm} calls {@code admit} for each registry entry that is read. A worker
 * must get no run before it is stored, so that the next scheduler finds every worker that may have
 * runs, even if its registry entry has lapsed by then.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class RosterWriter {

    private final SchedulerAppender appender;
    private final SchedulerState state;
    private final Runnable onChange;
    private final Map<WorkerId, Endpoint> storedEndpoints = new HashMap<>();
    private final Map<WorkerId, Endpoint> sentEndpoints = new HashMap<>();
    private final Set<WorkerId> beingDropped = new HashSet<>();

    RosterWriter(SchedulerAppender appender, SchedulerState state, Runnable onChange) {
        this.appender = appender;
        this.state = state;
        this.onChange = onChange;
    }

    /** Loads the workers that an earlier scheduler has stored. */
    void load(Roster roster) {
        roster.workers().forEach(info -> storedEndpoints.put(info.id(), info.endpoint()));
    }

    /**
     * Allows starts on a worker: at once if it is stored with this address, else when it has been
     * stored. An append that is in flight for the same address isn't repeated.
     */
    void admit(WorkerInfo info) {
        if (info.endpoint().equals(storedEndpoints.get(info.id()))) {
            state.admitWorker(info.id());
        } else if (!info.endpoint().equals(sentEndpoints.put(info.id(), info.endpoint()))) {
            appender.append(List.of(JobRecords.worker(info)), () -> workerStored(info));
        }
    }

    /** Returns the stored workers, and how many may be stored once all appends are answered. */
    Voters voters() {
        Set<WorkerId> all = new HashSet<>(storedEndpoints.keySet());
        all.addAll(sentEndpoints.keySet());
        all.addAll(beingDropped);
        return new Voters(storedEndpoints.keySet(), all.size());
    }

    /** Drops the stored workers that aren't registered and can't have runs any more. */
    void dropUnregistered(Set<WorkerId> registered) {
        for (WorkerId id : new ArrayList<>(storedEndpoints.keySet())) {
            if (!registered.contains(id)
                    && !state.mayHaveRuns(id)
                    && !state.workerReports().needsPolling(id)) {
                storedEndpoints.remove(id);
                sentEndpoints.remove(id);
                beingDropped.add(id);
                appender.append(
                        List.of(JobRecords.workerDropped(id)), () -> beingDropped.remove(id));
            }
        }
    }

    private void workerStored(WorkerInfo info) {
        storedEndpoints.put(info.id(), info.endpoint());
        state.admitWorker(info.id());
        onChange.run();
    }
}
