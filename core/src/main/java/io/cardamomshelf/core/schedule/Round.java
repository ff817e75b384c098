package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.QueuePolicy;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One round of decisions over the jobs that wait.
 *
 * <p>Load it answers: more work than room, of several priorities. Guaranteed work goes first, then
 * by priority, then by acceptance; what finds no room lets others pass, but the room that urgent
 * work is being given by stops is held for it.
 */
final class Round {

    private final SchedulerState board;
    private final ClockReading now;
    private final RoundCapacity room;
    private final TaskPlacer placer;
    private final LocalityPolicy detours;
    private final Reservations reservations;
    private final List<Order> orders = new ArrayList<>();
    private final Map<JobId, WaitReason> waits = new HashMap<>();

    Round(SchedulerState board, ClockReading now) {
        this.board = board;
        this.now = now;
        this.room = new RoundCapacity(board, now.monotonicMillis());
        this.placer = new TaskPlacer(room);
        Forecast forecast = new Forecast(room, now);
        this.detours = new LocalityPolicy(forecast, now);
        this.reservations = new Reservations(room, forecast, now);
    }

    List<Order> decide(Collection<LiveJob> jobs) {
        Set<OrganisationId> guaranteed = guaranteed(jobs);
        List<TaskGroup> groups = new ArrayList<>();
        for (LiveJob job : jobs) {
            if (job.isEnded()) {
                continue;
            }
            if (board.isUncertain(job)) {
                waits.put(job.job().id(), WaitReason.TAKEOVER);
            } else {
                groups.addAll(job.ready(now.wallMillis()));
            }
        }
        groups.sort(order(guaranteed));
        groups.forEach(this::place);
        return orders;
    }

    /** The jobs of which something waits, after the round was decided. */
    Map<JobId, WaitReason> waits() {
        return waits;
    }

    /** The free accelerators that the round kept back for work that waits. */
    int heldAccelerators() {
        return room.heldAccelerators();
    }

    private Comparator<TaskGroup> order(Set<OrganisationId> guaranteed) {
        return Comparator.<TaskGroup, Boolean>comparing(
                        group -> !(isUrgent(group) && guaranteed.contains(organisation(group))))
                .thenComparing(group -> policy(group).priority())
                .thenComparing(group -> group.owner().job().acceptedMillis())
                .thenComparing(group -> group.owner().job().id())
                .thenComparing(TaskGroup::occurrence)
                .thenComparing(TaskGroup::step);
    }

    /** The organisations whose urgent jobs all fit into their guarantees. */
    private Set<OrganisationId> guaranteed(Collection<LiveJob> jobs) {
        Map<OrganisationId, Integer> wanted = new HashMap<>();
        for (LiveJob job : jobs) {
            if (!job.isEnded() && board.policy(job).priority() == 0) {
                wanted.merge(job.job().organisation(), job.accelerators(), Integer::sum);
            }
        }
        wanted.entrySet().removeIf(entry -> entry.getValue() > board.guarantee(entry.getKey()));
        return wanted.keySet();
    }

    private void place(TaskGroup group) {
        List<Integer> waiting = group.waiting();
        if (waiting.isEmpty()) {
            return;
        }
        if (policy(group).advised()) {
            board.wantTickets(group, now);
        }
        if (group.spec().gang()) {
            place(group, waiting);
        } else {
            placeSingles(group, waiting);
        }
    }

    private void placeSingles(TaskGroup group, List<Integer> waiting) {
        for (int index : waiting) {
            if (!place(group, List.of(index))) {
                break;
            }
        }
    }

    /**
     * Places tasks that start together: where they want to be, else, if urgent, there by stops that
     * cost less than the detour, else anywhere if that is sooner than to wait.
     */
    private boolean place(TaskGroup group, List<Integer> waiting) {
        QueuePolicy policy = policy(group);
        int count = waiting.size();
        Optional<List<WorkerState>> place = placer.wanted(group, count, candidates(group));
        if (place.isEmpty() && mayReclaim(group) && reclaimWanted(group, count)) {
            return waitsFor(group, WaitReason.RECLAIMING);
        }
        boolean waits =
                place.isEmpty()
                        && TaskPlacer.wantsRack(group)
                        && detours.isWorthWaiting(
                                group,
                                count,
                                isUrgent(group),
                                TaskPlacer.wantedRacks(candidates(group), group));
        if (place.isEmpty() && !waits && TaskPlacer.wantsRack(group)) {
            place = placer.anywhere(group, count, candidates(group));
        }
        if (place.isPresent() && !isNamed(group, place.get())) {
            place = announce(group, place.get());
            if (place.isEmpty()) {
                return waitsFor(group, WaitReason.ANNOUNCING);
            }
        }
        if (place.isPresent()) {
            start(group, waiting, place.get());
            return true;
        }
        if (waits) {
            reserve(group, count, TaskPlacer.wantedRacks(candidates(group), group));
            return waitsFor(group, WaitReason.WANTED_RACK);
        }
        Optional<Preemption.Plan> plan =
                mayReclaim(group)
                        ? preemption(group).anywhere(group, count, policy.service())
                        : Optional.empty();
        plan.ifPresent(found -> reclaim(group, found));
        if (plan.isEmpty()) {
            reserve(group, count, List.of(candidates(group)));
        }
        return waitsFor(group, plan.isPresent() ? WaitReason.RECLAIMING : WaitReason.NO_ROOM);
    }

    /**
     * Keeps the room until it is stored that the job may have runs there. If the store seems to be
     * away, finds a place among the workers that are named already.
     */
    private Optional<List<WorkerState>> announce(TaskGroup group, List<WorkerState> hosts) {
        HostIntents names = group.owner().hosts();
        Optional<List<WorkerState>> known =
                names.isLate(now.monotonicMillis())
                        ? placer.wanted(group, hosts.size(), named(group))
                        : Optional.empty();
        if (known.isEmpty()) {
            group.owner().begin();
            name(group, hosts);
            hosts.forEach(host -> room.hold(host, group.spec().allocation()));
        }
        return known;
    }

    private List<WorkerState> named(TaskGroup group) {
        return candidates(group).stream().filter(w -> isNamed(group, List.of(w))).toList();
    }

    private static boolean isNamed(TaskGroup group, List<WorkerState> hosts) {
        return group.owner().hosts().covers(ids(hosts));
    }

    /** Single tasks end and start elsewhere all the time, so their hosts aren't told apart. */
    private void name(TaskGroup group, List<WorkerState> hosts) {
        if (isPlacedWhole(group)) {
            board.jobs().name(group.owner(), ids(hosts), now.monotonicMillis());
        } else {
            board.jobs().nameAnywhere(group.owner());
        }
    }

    private static boolean isPlacedWhole(TaskGroup group) {
        return group.spec().gang() || group.spec().count() == 1;
    }

    private static List<WorkerId> ids(List<WorkerState> hosts) {
        return hosts.stream().map(WorkerState::id).toList();
    }

    /** Promises room, and names it ahead, so that the store isn't waited for once it is free. */
    private void reserve(TaskGroup group, int count, Collection<List<WorkerState>> choices) {
        Optional<Forecast.Start> start =
                reservations.reserve(group, count, policy(group).priority(), choices);
        if (!group.owner().hosts().isNamedAhead()) {
            start.ifPresent(expected -> name(group, expected.hosts()));
        }
    }

    private boolean waitsFor(TaskGroup group, WaitReason reason) {
        if (!isPlacedWhole(group)) {
            board.jobs().nameAnywhere(group.owner());
        }
        waits.put(group.owner().job().id(), reason);
        return false;
    }

    /** Stops less urgent work in a wanted rack if that loses less than running elsewhere would. */
    private boolean reclaimWanted(TaskGroup group, int count) {
        if (!TaskPlacer.wantsRack(group)) {
            return false;
        }
        Preemption preemption = preemption(group);
        Optional<Preemption.Plan> plan = preemption.wanted(group, count, policy(group).service());
        if (plan.isEmpty()
                || preemption.lostWork(plan.get()) > LocalityPolicy.extraWork(group, count)) {
            return false;
        }
        reclaim(group, plan.get());
        return true;
    }

    private Preemption preemption(TaskGroup group) {
        return new Preemption(
                room,
                now,
                policy(group).priority(),
                run -> board.policy(run.group.owner()).priority());
    }

    private void reclaim(TaskGroup group, Preemption.Plan plan) {
        name(group, plan.hosts());
        plan.hosts().forEach(host -> room.hold(host, group.spec().allocation()));
        for (Run victim : plan.victims()) {
            for (Run run : wholeGang(victim)) {
                board.stop(run, Order.StopReason.RECLAIMED, now).ifPresent(orders::add);
            }
        }
    }

    private static Collection<Run> wholeGang(Run run) {
        return run.group.spec().gang() ? run.group.runs() : List.of(run);
    }

    private void start(TaskGroup group, List<Integer> tasks, List<WorkerState> hosts) {
        group.owner().hosts().used(ids(hosts));
        long run = board.nextRun();
        for (int i = 0; i < tasks.size(); i++) {
            orders.add(board.start(group, tasks.get(i), hosts.get(i), run, now));
        }
    }

    private boolean mayReclaim(TaskGroup group) {
        return isUrgent(group) && board.isSettled(now);
    }

    private boolean isUrgent(TaskGroup group) {
        return policy(group).priority() == 0;
    }

    private List<WorkerState> candidates(TaskGroup group) {
        return room.candidates(group, policy(group).service());
    }

    private QueuePolicy policy(TaskGroup group) {
        return board.policy(group.owner());
    }

    private static OrganisationId organisation(TaskGroup group) {
        return group.owner().job().organisation();
    }
}
