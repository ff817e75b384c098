package io.cardamomshelf.core.schedule;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * How the accelerators of the registered workers are used, and what waits for them.
 *
 * <p>Use: {@code board.load(now)} after a round; work that waits while {@code free} is high waits
 * for something else than room.
 *
 * <p>Immutable and thread-safe.
 *
 * @param accelerators those of all workers that take starts
 * @param free those of them that no run has
 * @param held the free ones that the last round held or promised for waiting work
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
            SchedulerState board, Collection<LiveJob> jobs, int held, ClockReading now) {
        int accelerators = 0;
        int free = 0;
        Map<Integer, Integer> running = new HashMap<>();
        for (WorkerState worker : board.workers()) {
            if (worker.isOpen(now.monotonicMillis())) {
                accelerators += worker.info().capacity().accelerators();
                free += Math.max(0, worker.free().accelerators());
            }
            for (Run run : worker.runs()) {
                if (!run.isLeaving()) {
                    int priority = board.policy(run.group.owner()).priority();
                    running.merge(priority, run.group.spec().demand().accelerators(), Integer::sum);
                }
            }
        }
        return new FleetLoad(accelerators, free, held, running, waiting(board, jobs));
    }

    private static Map<Integer, Integer> waiting(SchedulerState board, Collection<LiveJob> jobs) {
        Map<Integer, Integer> waiting = new HashMap<>();
        for (LiveJob job : jobs) {
            if (job.isEnded()) {
                continue;
            }
            for (TaskGroup group : job.groups()) {
                int wanted = group.waiting().size() * group.spec().demand().accelerators();
                if (wanted > 0) {
                    waiting.merge(board.policy(job).priority(), wanted, Integer::sum);
                }
            }
        }
        return waiting;
    }
}
