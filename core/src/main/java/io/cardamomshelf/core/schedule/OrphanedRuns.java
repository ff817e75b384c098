package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs that workers list and no live job wants; each is ordered to stop until it is gone.
 *
 * <p>What such a run takes isn't known here, so a worker that has one gets nothing new.
 */
final class OrphanedRuns {

    /** How long an ordered stop may take before it is ordered again, in milliseconds. */
    private static final long RETRY_MILLIS = 1_500;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<WorkerId, Map<Order.Stop, Long>> stopOrderedMillis = new HashMap<>();

    /** Takes all strays of a worker's list; those that aren't in it are gone. */
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

    /** The stops that are due, each noted as ordered now. */
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
