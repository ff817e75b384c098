package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Runs that workers list and no live job wants; each is ordered to stop until it is gone. */
final class Strays {

    private final Map<WorkerId, Set<Order.Stop>> byWorker = new HashMap<>();
    private final Set<Order.Stop> fresh = new LinkedHashSet<>();

    void plus(WorkerId worker, TaskId task, long run) {
        Order.Stop stop = new Order.Stop(worker, task, run, Order.StopReason.UNWANTED);
        byWorker.computeIfAbsent(worker, id -> new LinkedHashSet<>()).add(stop);
        fresh.add(stop);
    }

    void clear(WorkerId worker) {
        byWorker.remove(worker);
    }

    boolean isAt(WorkerId worker) {
        return byWorker.containsKey(worker);
    }

    List<Order> takeOrders() {
        List<Order> orders = new ArrayList<>(fresh);
        fresh.clear();
        return orders;
    }
}
