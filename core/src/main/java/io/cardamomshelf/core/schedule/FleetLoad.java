package io.cardamomshelf.core.schedule;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The use of the accelerators of the registered workers, and the demand that waits for them.
 *
 * <p>Use: {@code SchedulerState.load(now)} after a round. If work waits although {@code free} is
 * much higher than {@code held}, it waits for something other than capacity.
 *
 * <p>Immutable and thread-safe.
 *
 * @param accelerators those of all workers that accept starts
 * @param free those of them that no run uses
 * @param held the free ones that the last round held or reserved for waiting work
 * @param running the accelerators of runs that aren't being stopped, by priority of their queue
 * @param waiting the accelerators of tasks that could start now, by priority of their queue
 */
public record FleetLoad(
        int accelerators,
        int free,
        int held,
        Map<Integer, Integer> running,
        Map<Integer, Integer> waiting) {

    /** The load of no workers. */
    public static final FleetLoad NONE = new FleetLoad(0, 0, 0, Map.of(), Map.of());

    /** Creates a load. */
    public FleetLoad {
        running = Collections.unmodifiableMap(new TreeMap<>(running));
        waiting = Collections.unmodifiableMap(new TreeMap<>(waiting));
    }

    static FleetLoad of(
            SchedulerState state, Collection<LiveJob> jobs, int held, ClockReading now) {
        int accelerators = 0;
        int free = 0;
        Map<Integer, Integer> running = new HashMap<>();
        for (WorkerState worker : state.workers()) {
            if (worker.acceptsStarts(now.monotonicMillis())) {
                accelerators += worker.info().capacity().accelerators();
                free += Math.max(0, worker.free().accelerators());
            }
            for (Run run : worker.runs()) {
                if (!run.isBeingStopped()) {
                    int priority = state.policy(run.group.owner()).priority();
                    running.merge(priority, run.group.spec().demand().accelerators(), Integer::sum);
                }
            }
        }
        return new FleetLoad(accelerators, free, held, running, waiting(state, jobs));
    }

    private static Map<Integer, Integer> waiting(SchedulerState state, Collection<LiveJob> jobs) {
        Map<Integer, Integer> waiting = new HashMap<>();
        for (LiveJob job : jobs) {
            if (job.isEnded()) {
                continue;
            }
            for (TaskGroup group : job.groups()) {
                int needed = group.waitingTasks().size() * group.spec().demand().accelerators();
                if (needed > 0) {
                    waiting.merge(state.policy(job).priority(), needed, Integer::sum);
                }
            }
        }
        return waiting;
    }
}
