package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.StepSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The room that a round may give away: what is free, less what the round holds for others, and less
 * what it promised to work that can't start yet.
 */
final class RoundCapacity {

    /**
     * Room that waiting work will need.
     *
     * @param amount how much
     * @param keptFrom the most urgent priority that it is kept from
     * @param neededMillis when it is needed, on the steady clock
     */
    private record Promise(Resources amount, int keptFrom, long neededMillis) {}

    private final SchedulerState board;
    private final Collection<WorkerState> workers;
    private final List<WorkerState> open;
    private final long nowMillis;
    private final Map<WorkerId, Resources> held = new HashMap<>();
    private final Map<WorkerId, List<Promise>> promises = new HashMap<>();
    private final Map<WorkerId, List<Run>> byEnd = new HashMap<>();
    private final Map<TaskGroup, List<WorkerState>> candidates = new HashMap<>();

    RoundCapacity(SchedulerState board, long nowMillis) {
        this.board = board;
        this.workers = board.workers();
        this.open = open(board, workers, nowMillis);
        this.nowMillis = nowMillis;
    }

    Resources free(WorkerState worker) {
        return worker.free().minus(held.getOrDefault(worker.id(), Resources.NONE));
    }

    void hold(WorkerState worker, Resources amount) {
        held.merge(worker.id(), amount, Resources::plus);
    }

    /**
     * Keeps room from work of this priority or less urgent that would still run when it is needed.
     */
    void promise(WorkerState worker, Resources amount, int keptFrom, long neededMillis) {
        promises.computeIfAbsent(worker.id(), any -> new ArrayList<>())
                .add(new Promise(amount, keptFrom, neededMillis));
    }

    /** What a group's tasks may take of a worker, by its priority and its estimate. */
    Resources freeFor(TaskGroup group, WorkerState worker) {
        Resources free = free(worker);
        List<Promise> made = promises.getOrDefault(worker.id(), List.of());
        if (made.isEmpty()) {
            return free;
        }
        int priority = board.policy(group.owner()).priority();
        long end = endMillis(group.spec());
        for (Promise promise : made) {
            if (priority >= promise.keptFrom() && end > promise.neededMillis()) {
                free = free.minus(promise.amount());
            }
        }
        return free;
    }

    /** What is free and was promised to nobody. */
    Resources unpromised(WorkerState worker) {
        Resources free = free(worker);
        for (Promise promise : promises.getOrDefault(worker.id(), List.of())) {
            free = free.minus(promise.amount());
        }
        return free;
    }

    /** The runs of a worker that end at all, the first to end first. */
    List<Run> byEnd(WorkerState worker) {
        return byEnd.computeIfAbsent(
                worker.id(),
                any ->
                        worker.runs().stream()
                                .filter(run -> !run.group.spec().longRunning() || run.isLeaving())
                                .sorted(Comparator.comparingLong(this::leftMillis))
                                .toList());
    }

    /** The free accelerators of all workers that are held or promised. */
    int heldAccelerators() {
        return workers.stream().mapToInt(this::heldAccelerators).sum();
    }

    private int heldAccelerators(WorkerState worker) {
        int free = Math.max(0, worker.free().accelerators());
        int left = Math.max(0, unpromised(worker).accelerators());
        return Math.max(0, free - left);
    }

    /** The workers that a group may use now, without those that failed it if there are others. */
    List<WorkerState> candidates(TaskGroup group, String service) {
        return candidates.computeIfAbsent(group, any -> find(group, service));
    }

    private List<WorkerState> find(TaskGroup group, String service) {
        boolean advised = board.policy(group.owner()).advised();
        List<WorkerState> allowed = new ArrayList<>(open.size());
        for (WorkerState worker : open) {
            if (isAllowed(worker, group, service)
                    && (!advised || board.ticket(group, worker, nowMillis).isPresent())) {
                allowed.add(worker);
            }
        }
        List<WorkerState> preferred =
                allowed.stream().filter(w -> !group.isAvoiding(w.id(), nowMillis)).toList();
        return preferred.isEmpty() ? allowed : preferred;
    }

    private static boolean isAllowed(WorkerState worker, TaskGroup group, String service) {
        WorkerInfo info = worker.info();
        String label = group.spec().label();
        return info.service().equals(service) && (label.isEmpty() || info.labels().contains(label));
    }

    /** The workers that take starts at all, the same for every group of the round. */
    private static List<WorkerState> open(
            SchedulerState board, Collection<WorkerState> workers, long nowMillis) {
        return workers.stream()
                .filter(worker -> worker.isOpen(nowMillis))
                .filter(worker -> !board.stragglers().contains(worker.id()))
                .filter(worker -> !board.closed().contains(worker.info().dataCentre()))
                .toList();
    }

    private long leftMillis(Run run) {
        return run.isLeaving() ? 0 : run.remainingMillis(nowMillis);
    }

    private long endMillis(StepSpec spec) {
        boolean known = spec.estimateMillis() > 0 && !spec.longRunning();
        return known ? nowMillis + spec.estimateMillis() : Long.MAX_VALUE;
    }
}
