package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.QueuePolicy;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One scheduling round: places the waiting tasks of all jobs, and stops runs for urgent ones.
 *
 * <p>There may be more work than capacity; {@link PlacementOrder} tells which comes first. Work
 * that doesn't fit doesn't block the work behind it, but capacity that is being freed by preemption
 * is held for the urgent work it was freed for.
 *
 * <p>Created by {@link SchedulerState#decide} for each round; not reused.
 */
final class Round {

    private final SchedulerState state;
    private final ClockReading now;
    private final RoundCapacity capacity;
    private final TaskPlacer placer;
    private final LocalityPolicy localityPolicy;
    private final Reservations reservations;
    private final OrganisationCaps caps;
    private final Optional<DominantShares> shares;
    private final List<Order> orders = new ArrayList<>();
    private final Map<JobId, WaitReason> waitReasons = new HashMap<>();

    Round(SchedulerState state, ClockReading now) {
        this.state = state;
        this.now = now;
        this.capacity = new RoundCapacity(state, now.monotonicMillis());
        this.placer = new TaskPlacer(capacity, state.observations(), this::isUrgent);
        Forecast forecast = new Forecast(capacity, now);
        this.localityPolicy = new LocalityPolicy(forecast, now);
        this.reservations = new Reservations(capacity, forecast, now);
        OrganisationUsage usage = state.organisations().usage(now);
        this.caps = state.organisations().caps(usage);
        this.shares = state.organisations().shares(usage, state.workers(), now);
    }

    List<Order> decide(Collection<LiveJob> jobs) {
        Set<OrganisationId> withinGuarantee = organisationsWithinGuarantee(jobs);
        List<TaskGroup> groups = new ArrayList<>();
        for (LiveJob job : jobs) {
            if (job.isEnded()) {
                continue;
            }
            if (job.hostIntents().hasUnreportedWorkers()) {
                waitReasons.put(job.job().id(), WaitReason.TAKEOVER);
            } else {
                groups.addAll(job.readyGroups(now.wallMillis()));
            }
        }
        PlacementOrder order = new PlacementOrder(withinGuarantee, this::policy, now);
        groups.sort(order.comparator());
        Optional<DominantShares> exceeded = shares.filter(all -> all.isExceededBy(groups));
        exceeded.ifPresentOrElse(
                all -> new FairTurns(order, all, now, this::place).place(groups),
                () -> groups.forEach(group -> place(group, group.spec().count())));
        return orders;
    }

    /** The jobs that have waiting tasks, once the round was decided. */
    Map<JobId, WaitReason> waitReasons() {
        return waitReasons;
    }

    /** The free accelerators that the round keeps for waiting work. */
    int heldAccelerators() {
        return capacity.heldAccelerators();
    }

    /** How many groups wait for the cap of their organisation. */
    int groupsOverCap() {
        return caps.waitingGroups();
    }

    /** The organisations whose urgent jobs together fit into their guarantee. */
    private Set<OrganisationId> organisationsWithinGuarantee(Collection<LiveJob> jobs) {
        Map<OrganisationId, Long> requested = new HashMap<>();
        for (LiveJob job : jobs) {
            if (!job.isEnded() && state.policy(job).priority() == 0) {
                requested.merge(job.job().organisation(), job.peakAccelerators(), Long::sum);
            }
        }
        requested
                .entrySet()
                .removeIf(
                        entry ->
                                entry.getValue() > state.organisations().guarantee(entry.getKey()));
        return requested.keySet();
    }

    /**
     * Places waiting tasks of a group, at most the given number unless it is a gang. Returns
     * whether they were started and the next ones may be placed too.
     */
    private boolean place(TaskGroup group, int maxTasks) {
        List<Integer> waitingTasks = tasksWithinCap(group, tasksWithoutRuns(group));
        if (waitingTasks.isEmpty()) {
            return false;
        }
        boolean isMostlyIdle = capacity.isMostlyIdle(policy(group).service());
        group.updateIdleDelay(isMostlyIdle, now.monotonicMillis());
        if (policy(group).advised()) {
            state.requestTickets(group, now);
        }
        if (group.spec().gang()) {
            place(group, waitingTasks);
            return false;
        }
        int count = Math.min(maxTasks, waitingTasks.size());
        return placeOneByOne(group, waitingTasks.subList(0, count)) && count < waitingTasks.size();
    }

    /**
     * Returns the waiting tasks of a group that certainly have no runs. After a takeover, others
     * may run on workers that haven't reported yet.
     */
    private List<Integer> tasksWithoutRuns(TaskGroup group) {
        List<Integer> waiting = group.waitingTasks();
        if (waiting.isEmpty() || !state.mayHaveUnreportedRuns(group.owner())) {
            return waiting;
        }
        List<Integer> withoutRuns =
                waiting.stream()
                        .filter(index -> !group.owner().taskIntents().isInherited(group, index))
                        .toList();
        if (withoutRuns.size() < waiting.size()) {
            waitReasons.put(group.owner().job().id(), WaitReason.TAKEOVER);
        }
        boolean isBlocked = group.spec().gang() && withoutRuns.size() < waiting.size();
        return isBlocked ? List.of() : withoutRuns;
    }

    /**
     * Returns those of a group's tasks that may start under its organisation's cap. A group that
     * waits only for the cap doesn't count as waiting beside idle capacity.
     */
    private List<Integer> tasksWithinCap(TaskGroup group, List<Integer> tasks) {
        int allowed = tasks.isEmpty() ? 0 : caps.allowedTasks(group, tasks.size());
        if (allowed < tasks.size()) {
            waitReasons.put(group.owner().job().id(), WaitReason.OVER_CAP);
            if (allowed == 0) {
                group.updateIdleDelay(false, now.monotonicMillis());
            }
        }
        return tasks.subList(0, allowed);
    }

    private boolean placeOneByOne(TaskGroup group, List<Integer> waitingTasks) {
        for (int index : waitingTasks) {
            if (!place(group, List.of(index))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Places tasks that start together. The first choice is free capacity in a preferred rack. For
     * urgent work the next is preemption there, if it loses less work than a non-local placement
     * adds. Then any rack is used, unless it is worth waiting for a preferred one. If nothing fits,
     * urgent work preempts on any workers. Gangs that preempt nothing get a reservation, or
     * displace less urgent runs if they would be late otherwise.
     *
     * @return whether the tasks were started
     */
    private boolean place(TaskGroup group, List<Integer> waitingTasks) {
        QueuePolicy policy = policy(group);
        int count = waitingTasks.size();
        Optional<List<WorkerState>> hosts =
                placer.placeInPreferredRack(group, count, candidates(group));
        if (hosts.isEmpty() && mayPreempt(group) && preemptInPreferredRack(group, count)) {
            return recordWait(group, WaitReason.RECLAIMING);
        }
        boolean waitsForRack =
                hosts.isEmpty()
                        && TaskPlacer.hasPreferredRack(group)
                        && localityPolicy.isWorthWaiting(
                                group, count, policy, preferredRacks(group));
        if (hosts.isEmpty() && !waitsForRack && TaskPlacer.hasPreferredRack(group)) {
            hosts = placer.placeAnywhere(group, count, candidates(group));
        }
        if (hosts.isPresent() && !hasIntentFor(group, waitingTasks, hosts.get())) {
            hosts = findRecordedHostsOrAddIntents(group, waitingTasks, hosts.get());
            if (hosts.isEmpty()) {
                return recordWait(group, WaitReason.ANNOUNCING);
            }
        }
        if (hosts.isPresent()) {
            start(group, waitingTasks, hosts.get());
            return true;
        }
        if (waitsForRack) {
            WaitReason reason = WaitReason.WANTED_RACK;
            return recordWait(
                    group, reserveOrDisplace(group, count, preferredRacks(group), reason));
        }
        List<List<WorkerState>> anyWorkers = List.of(candidates(group));
        if (mayPreempt(group)) {
            Optional<Preemption.Plan> plan = preemption(group).plan(group, count, anyWorkers);
            if (plan.isPresent()) {
                preempt(group, plan.get());
                return recordWait(group, WaitReason.RECLAIMING);
            }
        }
        return recordWait(group, reserveOrDisplace(group, count, anyWorkers, WaitReason.NO_ROOM));
    }

    /**
     * Returns hosts among the workers whose intents are already stored, if the tasks fit there and
     * have stored intents: those that were reserved or preempted for the group, or that it ran on
     * before. Otherwise holds the capacity until the intents for the tasks and the given hosts are
     * stored, and returns empty.
     */
    private Optional<List<WorkerState>> findRecordedHostsOrAddIntents(
            TaskGroup group, List<Integer> tasks, List<WorkerState> hosts) {
        Optional<List<WorkerState>> recordedHosts =
                group.owner().taskIntents().covers(group, tasks)
                        ? placer.placeInPreferredRack(
                                group, hosts.size(), candidatesWithIntent(group))
                        : Optional.empty();
        if (recordedHosts.isEmpty()) {
            addIntents(group, hosts);
            hold(group, hosts);
        }
        return recordedHosts;
    }

    private List<WorkerState> candidatesWithIntent(TaskGroup group) {
        return candidates(group).stream()
                .filter(worker -> group.owner().hostIntents().covers(ids(List.of(worker))))
                .toList();
    }

    private static boolean hasIntentFor(
            TaskGroup group, List<Integer> tasks, List<WorkerState> hosts) {
        return group.owner().hostIntents().covers(ids(hosts))
                && group.owner().taskIntents().covers(group, tasks);
    }

    /**
     * Adds the intents for these hosts and for the group's tasks. If it has several tasks that
     * start one by one, the intent is for any worker, as those change hosts often, and for as many
     * tasks as fit now.
     */
    private void addIntents(TaskGroup group, List<WorkerState> hosts) {
        List<Integer> waiting = tasksWithoutRuns(group);
        if (group.isPlacedTogether()) {
            state.jobs().addHostIntents(group.owner(), ids(hosts));
            state.jobs().addTaskIntents(group, waiting);
        } else {
            state.jobs().addIntentForAnyWorker(group.owner());
            int count = Math.max(hosts.size(), placer.countFitting(group, candidates(group)));
            state.jobs().addTaskIntents(group, waiting.subList(0, Math.min(count, waiting.size())));
        }
    }

    private static List<WorkerId> ids(List<WorkerState> hosts) {
        return hosts.stream().map(WorkerState::id).toList();
    }

    /**
     * Reserves capacity if the group is a gang, and adds its host intents now, so that the start
     * needn't wait for the store once the capacity is free. If that is too late for the gang's
     * objective, stops less urgent runs instead, as far as they have the time for a restart.
     *
     * @return why the group waits: the given reason, unless runs are being stopped for it
     */
    private WaitReason reserveOrDisplace(
            TaskGroup group,
            int count,
            Collection<List<WorkerState>> workerSets,
            WaitReason reason) {
        Optional<Forecast.Start> start = reservations.earliestStart(group, count, workerSets);
        if (start.isEmpty()) {
            return reason;
        }
        if (state.mayPreempt(now) && reservations.missesObjective(group, start.get())) {
            Optional<Preemption.Plan> plan = displacement(group).plan(group, count, workerSets);
            if (plan.isPresent()) {
                preempt(group, plan.get());
                return WaitReason.RECLAIMING;
            }
        }
        reservations.reserve(group, start.get(), policy(group).priority());
        caps.claim(group, count);
        if (!group.owner().hostIntents().hasIntentForNextStart()) {
            addIntents(group, start.get().hosts());
        }
        return reason;
    }

    /**
     * Records why a group waits, and adds its host intent in advance if it has several tasks that
     * start one by one. Always returns false, as the group wasn't started.
     */
    private boolean recordWait(TaskGroup group, WaitReason reason) {
        if (!group.isPlacedTogether()) {
            state.jobs().addIntentForAnyWorker(group.owner());
        }
        if (policy(group).advised()) {
            state.adviceRequests().requestOnFreeWorkers(group, policy(group).service(), now);
        }
        waitReasons.put(group.owner().job().id(), reason);
        return false;
    }

    /** Preempts in a preferred rack if that loses less work than a non-local placement adds. */
    private boolean preemptInPreferredRack(TaskGroup group, int count) {
        if (!TaskPlacer.hasPreferredRack(group)) {
            return false;
        }
        Preemption preemption = preemption(group);
        Optional<Preemption.Plan> plan = preemption.plan(group, count, preferredRacks(group));
        if (plan.isEmpty()
                || preemption.lostWork(plan.get())
                        > LocalityPolicy.nonLocalExtraWork(group, count)) {
            return false;
        }
        preempt(group, plan.get());
        return true;
    }

    /** Preemption for urgent work, which may stop all less urgent runs. */
    private Preemption preemption(TaskGroup group) {
        return new Preemption(capacity, now, run -> isLessUrgent(run, group));
    }

    /** Preemption for a gang that would be late, which may not make other jobs late. */
    private Preemption displacement(TaskGroup group) {
        return new Preemption(
                capacity, now, run -> isLessUrgent(run, group) && run.hasTimeToRestart(now));
    }

    private boolean isLessUrgent(Run run, TaskGroup group) {
        return state.policy(run.group.owner()).priority() > policy(group).priority();
    }

    /** Holds the planned capacity for the group and orders the stops that free it. */
    private void preempt(TaskGroup group, Preemption.Plan plan) {
        addIntents(group, plan.hosts());
        hold(group, plan.hosts());
        for (Run victim : plan.victims()) {
            state.stop(victim, Order.StopReason.RECLAIMED, now).ifPresent(orders::add);
        }
    }

    /** Keeps capacity, and the organisation's cap, for tasks of a group that start soon. */
    private void hold(TaskGroup group, List<WorkerState> hosts) {
        hosts.forEach(host -> capacity.hold(host, group.spec().allocation()));
        caps.claim(group, hosts.size());
        shares.ifPresent(all -> all.charge(group, hosts.size()));
    }

    private void start(TaskGroup group, List<Integer> tasks, List<WorkerState> hosts) {
        caps.recordStarts(group, tasks.size());
        shares.ifPresent(all -> all.charge(group, tasks.size()));
        group.owner().hostIntents().markStarted(ids(hosts));
        long run = state.nextRunNumber();
        for (int i = 0; i < tasks.size(); i++) {
            orders.add(state.start(group, tasks.get(i), hosts.get(i), run, now));
        }
    }

    private boolean mayPreempt(TaskGroup group) {
        return isUrgent(group) && state.mayPreempt(now);
    }

    private boolean isUrgent(TaskGroup group) {
        return policy(group).priority() == 0;
    }

    private Collection<List<WorkerState>> preferredRacks(TaskGroup group) {
        return TaskPlacer.preferredRacks(candidates(group), group);
    }

    private List<WorkerState> candidates(TaskGroup group) {
        return capacity.candidates(group, policy(group).service());
    }

    private QueuePolicy policy(TaskGroup group) {
        return state.policy(group.owner());
    }
}
