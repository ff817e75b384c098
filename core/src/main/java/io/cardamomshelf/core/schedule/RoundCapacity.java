package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The capacity that a round may still allocate: free capacity, less what the round holds, and less
 * what is reserved for work that can't start yet.
 *
 * <p>Created for each round and shared by all of its parts.
 */
final class RoundCapacity {

    /**
     * Capacity that a waiting gang will need.
     *
     * @param amount the reserved amount
     * @param excludedFromPriority work of this priority number or a higher one can't use it
     * @param neededMillis when the gang needs it, on the monotonic clock
     */
    private record Reservation(Resources amount, int excludedFromPriority, long neededMillis) {}

    /**
     * How long reservations delay other work while the service is mostly idle, in milliseconds:
     * work doesn't wait beside free capacity for 3 s.
     */
    private static final long MAX_IDLE_DELAY_MILLIS = 2_500;

    private final SchedulerState state;
    private final Collection<WorkerState> workers;
    private final List<WorkerState> openWorkers;
    private final long nowMillis;
    private final Map<WorkerId, Resources> held = new HashMap<>();
    private final Map<WorkerId, List<Reservation>> reservations = new HashMap<>();
    private final Map<WorkerId, List<Run>> runsByEnd = new HashMap<>();
    private final Map<TaskGroup, List<WorkerState>> candidates = new HashMap<>();
    private final Map<String, Boolean> mostlyIdleServices = new HashMap<>();

    RoundCapacity(SchedulerState state, long nowMillis) {
        this.state = state;
        this.workers = state.workers();
        this.openWorkers = openWorkers(state, workers, nowMillis);
        this.nowMillis = nowMillis;
    }

    Resources free(WorkerState worker) {
        return worker.free().minus(held.getOrDefault(worker.id(), Resources.NONE));
    }

    /** Withholds capacity from all other work for the rest of the round. */
    void hold(WorkerState worker, Resources amount) {
        held.merge(worker.id(), amount, Resources::plus);
    }

    /**
     * Reserves capacity: work of this priority number or a higher one can't use it if that work
     * would still run when the capacity is needed.
     */
    void reserve(
            WorkerState worker, Resources amount, int excludedFromPriority, long neededMillis) {
        reservations
                .computeIfAbsent(worker.id(), id -> new ArrayList<>())
                .add(new Reservation(amount, excludedFromPriority, neededMillis));
    }

    /**
     * The free capacity of a worker, less the reservations that the group must respect because of
     * its priority and its estimated end. Work that was delayed too long beside idle capacity
     * respects none, as a gang may wait for much longer than estimates say.
     */
    Resources freeFor(TaskGroup group, WorkerState worker) {
        Resources free = free(worker);
        List<Reservation> onWorker = reservations.getOrDefault(worker.id(), List.of());
        if (onWorker.isEmpty() || group.idleDelayMillis(nowMillis) >= MAX_IDLE_DELAY_MILLIS) {
            return free;
        }
        int priority = state.policy(group.owner()).priority();
        long endMillis = estimatedEndMillis(group);
        for (Reservation reservation : onWorker) {
            if (priority >= reservation.excludedFromPriority()
                    && endMillis > reservation.neededMillis()) {
                free = free.minus(reservation.amount());
            }
        }
        return free;
    }

    /** The free capacity less all reservations. */
    Resources unreserved(WorkerState worker) {
        Resources free = free(worker);
        for (Reservation reservation : reservations.getOrDefault(worker.id(), List.of())) {
            free = free.minus(reservation.amount());
        }
        return free;
    }

    /**
     * The runs of a worker that are expected to end, by remaining time. Long-running ones are
     * included only while they are being stopped.
     */
    List<Run> runsByEnd(WorkerState worker) {
        return runsByEnd.computeIfAbsent(
                worker.id(),
                id ->
                        worker.runs().stream()
                                .filter(
                                        run ->
                                                !run.group.spec().longRunning()
                                                        || run.isBeingStopped())
                                .sorted(Comparator.comparingLong(this::remainingMillis))
                                .toList());
    }

    /** The free accelerators of all workers that are held or reserved. */
    int heldAccelerators() {
        return workers.stream().mapToInt(this::heldAccelerators).sum();
    }

    private int heldAccelerators(WorkerState worker) {
        int free = Math.max(0, worker.free().accelerators());
        int unreserved = Math.max(0, unreserved(worker).accelerators());
        return Math.max(0, free - unreserved);
    }

    /**
     * The workers that a group may use now. Workers on which its tasks, or those of several jobs,
     * failed recently are included only if it doesn't fit on others and the service is mostly idle.
     * Those on which only its own tasks failed are included at once if there are no others.
     */
    List<WorkerState> candidates(TaskGroup group, String service) {
        return candidates.computeIfAbsent(group, key -> findCandidates(group, service));
    }

    private List<WorkerState> findCandidates(TaskGroup group, String service) {
        boolean advised = state.policy(group.owner()).advised();
        List<WorkerState> allowed = new ArrayList<>(openWorkers.size());
        for (WorkerState worker : openWorkers) {
            if (isAllowed(worker, group, service)
                    && !worker.avoidance().isExclusive(nowMillis)
                    && (!advised || state.ticket(group, worker, nowMillis).isPresent())) {
                allowed.add(worker);
            }
        }
        List<WorkerState> preferred = preferredOf(allowed, group);
        if (preferred.size() == allowed.size()
                || fits(group, preferred)
                || !isMostlyIdle(service)) {
            return preferred;
        }
        List<WorkerState> withAvoided =
                allowed.stream()
                        .filter(worker -> !group.avoidance(worker.id()).isExclusive(nowMillis))
                        .filter(worker -> !isTooUnsteady(worker, group))
                        .toList();
        return fits(group, withAvoided) ? withAvoided : preferred;
    }

    private List<WorkerState> preferredOf(List<WorkerState> allowed, TaskGroup group) {
        List<WorkerState> sound =
                allowed.stream().filter(worker -> !worker.avoidance().isActive(nowMillis)).toList();
        List<WorkerState> notAvoided =
                sound.stream()
                        .filter(worker -> !group.avoidance(worker.id()).isActive(nowMillis))
                        .filter(worker -> !isTooUnsteady(worker, group))
                        .toList();
        return notAvoided.isEmpty() ? sound : notAvoided;
    }

    /** Whether a worker was unresponsive a moment ago; a gang would lose all its members there. */
    private boolean isTooUnsteady(WorkerState worker, TaskGroup group) {
        return group.spec().gang()
                && state.observations().flapDetector().isRecovering(worker.id(), nowMillis);
    }

    /** Whether less than half of each resource of a service is in use. */
    boolean isMostlyIdle(String service) {
        return mostlyIdleServices.computeIfAbsent(service, this::hasHalfOfEachResourceFree);
    }

    private boolean hasHalfOfEachResourceFree(String service) {
        Resources total = Resources.NONE;
        Resources used = Resources.NONE;
        for (WorkerState worker : workers) {
            if (worker.isRegistered() && worker.info().service().equals(service)) {
                total = total.plus(worker.info().capacity());
                used = used.plus(worker.info().capacity().minus(worker.free()));
            }
        }
        return 2 * used.cpuMillis() < total.cpuMillis()
                && 2 * used.memoryMb() < total.memoryMb()
                && (total.accelerators() == 0 || 2 * used.accelerators() < total.accelerators());
    }

    /** Whether the tasks that start together fit on the workers now. */
    private boolean fits(TaskGroup group, List<WorkerState> workers) {
        int count = group.spec().gang() ? group.spec().count() : 1;
        return workers.stream()
                        .mapToInt(
                                worker ->
                                        TaskPlacer.fittingTasks(
                                                worker, group, freeFor(group, worker)))
                        .sum()
                >= count;
    }

    private static boolean isAllowed(WorkerState worker, TaskGroup group, String service) {
        WorkerInfo info = worker.info();
        String label = group.spec().label();
        return info.service().equals(service) && (label.isEmpty() || info.labels().contains(label));
    }

    /**
     * The workers that accept starts, without stragglers and closed data centres. They are the same
     * for every group of the round.
     */
    private static List<WorkerState> openWorkers(
            SchedulerState state, Collection<WorkerState> workers, long nowMillis) {
        return workers.stream()
                .filter(worker -> worker.acceptsStarts(nowMillis))
                .filter(worker -> !state.stragglers().contains(worker.id()))
                .filter(worker -> !state.closedDataCentres().contains(worker.info().dataCentre()))
                .toList();
    }

    private long remainingMillis(Run run) {
        return run.isBeingStopped() ? 0 : run.remainingMillis(nowMillis);
    }

    private long estimatedEndMillis(TaskGroup group) {
        return group.hasEstimate() ? nowMillis + group.spec().estimateMillis() : Long.MAX_VALUE;
    }
}
