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
    private static final long AGAIN_MILLIS = 1_500;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<WorkerId, Map<Order.Stop, Long>> orderedMillis = new HashMap<>();

    /** Takes all strays of a worker's list; those that aren't in it are gone. */
    void replace(WorkerId worker, List<WorkerLists.Running> strays) {
        Map<Order.Stop, Long> before = orderedMillis.getOrDefault(worker, Map.of());
        Map<Order.Stop, Long> after = new HashMap<>();
        for (WorkerLists.Running stray : strays) {
            Order.Stop stop = stop(worker, stray.task(), stray.run());
            after.put(stop, before.getOrDefault(stop, NEVER));
        }
        if (after.isEmpty()) {
            orderedMillis.remove(worker);
        } else {
            orderedMillis.put(worker, after);
        }
    }

    void clear(WorkerId worker) {
        orderedMillis.remove(worker);
    }

    boolean isAt(WorkerId worker) {
        return orderedMillis.containsKey(worker);
    }

    /** The stops that are due, each noted as ordered now. */
    List<Order> takeOrders(long nowMillis) {
        List<Order> orders = new ArrayList<>();
        for (Map<Order.Stop, Long> stops : orderedMillis.values()) {
            for (Map.Entry<Order.Stop, Long> stop : stops.entrySet()) {
                if (nowMillis - stop.getValue() >= AGAIN_MILLIS) {
                    stop.setValue(nowMillis);
                    orders.add(stop.getKey());
                }
            }
        }
        return orders;
    }

    private static Order.Stop stop(WorkerId worker, TaskId task, long run) {
        return new Order.Stop(worker, task, run, Order.StopReason.UNWANTED);
    }
}
