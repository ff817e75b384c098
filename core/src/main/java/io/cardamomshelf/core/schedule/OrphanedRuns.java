package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The runs that workers list and no live job needs. Stops are ordered for a run until its worker no
 * longer lists it.
 *
 * <p>The capacity that such a run occupies isn't known, so {@link SchedulerState#workers} leaves
 * out its worker, which therefore gets no starts. Updated by {@link WorkerTable}.
 */
final class OrphanedRuns {

    /** The time after which a stop is ordered again if the run is still listed, in milliseconds. */
    private static final long RETRY_MILLIS = 1_500;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<WorkerId, Map<Order.Stop, Long>> stopOrderedMillis = new HashMap<>();

    /** Replaces the orphaned runs of a worker by those of its newest list. */
    void replace(WorkerId worker, List<WorkerLists.Running> orphans) {
        Map<Order.Stop, Long> before = stopOrderedMillis.getOrDefault(worker, Map.of());
        Map<Order.Stop, Long> after = new HashMap<>();
        for (WorkerLists.Running orphan : orphans) {
            Order.Stop stop = stopOrder(worker, orphan.task(), orphan.run());
            after.put(stop, before.getOrDefault(stop, NEVER));
        }
        if (after.isEmpty()) {
            stopOrderedMillis.remove(worker);
        } else {
            stopOrderedMillis.put(worker, after);
        }
    }

    void clear(WorkerId worker) {
        stopOrderedMillis.remove(worker);
    }

    boolean hasAny(WorkerId worker) {
        return stopOrderedMillis.containsKey(worker);
    }

    /** The tasks of all orphaned runs; a task can have several. */
    List<TaskId> tasks() {
        return stopOrderedMillis.values().stream()
                .flatMap(stops -> stops.keySet().stream().map(Order.Stop::task))
                .toList();
    }

    /** Returns the stops that are due, and records them as ordered now. */
    List<Order> takeDueStops(long nowMillis) {
        List<Order> orders = new ArrayList<>();
        for (Map<Order.Stop, Long> stops : stopOrderedMillis.values()) {
            for (Map.Entry<Order.Stop, Long> stop : stops.entrySet()) {
                if (nowMillis - stop.getValue() >= RETRY_MILLIS) {
                    stop.setValue(nowMillis);
                    orders.add(stop.getKey());
                }
            }
        }
        return orders;
    }

    private static Order.Stop stopOrder(WorkerId worker, TaskId task, long run) {
        return new Order.Stop(worker, task, run, Order.StopReason.UNWANTED);
    }
}
