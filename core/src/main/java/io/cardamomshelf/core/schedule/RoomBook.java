package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.Resources;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The room that a round may give away: what is free, less what the round holds for others. */
final class RoomBook {

    private final Board board;
    private final Collection<WorkerState> workers;
    private final Set<DataCentreId> closed;
    private final long nowMillis;
    private final Map<WorkerId, Resources> held = new HashMap<>();

    RoomBook(Board board, long nowMillis) {
        this.board = board;
        this.workers = board.workers();
        this.closed = board.closed();
        this.nowMillis = nowMillis;
    }

    Resources free(WorkerState worker) {
        return worker.free().minus(held.getOrDefault(worker.id(), Resources.NONE));
    }

    void hold(WorkerState worker, Resources amount) {
        held.merge(worker.id(), amount, Resources::plus);
    }

    /** What is held of accelerators that are free, over all workers. */
    int heldAccelerators() {
        return workers.stream()
                .filter(worker -> held.containsKey(worker.id()))
                .mapToInt(
                        worker ->
                                Math.min(
                                        Math.max(0, worker.free().accelerators()),
                                        held.get(worker.id()).accelerators()))
                .sum();
    }

    /** The workers that a group may use now, without those that failed it if there are others. */
    List<WorkerState> candidates(TaskGroup group, String service) {
        List<WorkerState> open =
                workers.stream()
                        .filter(worker -> isAllowed(worker, group, service))
                        .filter(worker -> worker.isOpen(nowMillis))
                        .filter(worker -> !board.lagging().contains(worker.id()))
                        .toList();
        List<WorkerState> preferred =
                open.stream().filter(w -> !group.isAvoiding(w.id(), nowMillis)).toList();
        return preferred.isEmpty() ? open : preferred;
    }

    private boolean isAllowed(WorkerState worker, TaskGroup group, String service) {
        WorkerInfo info = worker.info();
        String label = group.spec().label();
        boolean advised = board.policy(group.owner()).advised();
        return info.service().equals(service)
                && (!advised || board.ticket(group, worker, nowMillis).isPresent())
                && !closed.contains(info.dataCentre())
                && (label.isEmpty() || info.labels().contains(label));
    }
}
