package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * Chooses the runs to stop so that an urgent group gets capacity.
 *
 * <p>Urgent gangs arrive while less urgent work occupies the accelerators, and a guarantee has to
 * be met within seconds. A plan stops the runs with the lowest cost, which is the lost work and the
 * restart. Capacity of runs that are already being stopped counts as free. This class stops nothing
 * itself: {@link Round} carries out the plan.
 */
final class Preemption {

    /**
     * A set of runs to stop, and the workers that the tasks then fit on.
     *
     * @param hosts a worker for each task
     * @param victims the runs to stop
     */
    record Plan(List<WorkerState> hosts, Set<Run> victims) {}

    private final RoundCapacity capacity;
    private final ClockReading now;
    private final int priority;
    private final ToIntFunction<Run> priorityOf;

    Preemption(
            RoundCapacity capacity, ClockReading now, int priority, ToIntFunction<Run> priorityOf) {
        this.capacity = capacity;
        this.now = now;
        this.priority = priority;
        this.priorityOf = priorityOf;
    }

    /** Plans preemption in the preferred rack with the lowest cost of stops. */
    Optional<Plan> planInPreferredRack(TaskGroup group, int count, String service) {
        return TaskPlacer.preferredRacks(capacity.candidates(group, service), group).stream()
                .flatMap(rack -> plan(rack, group, count).stream())
                .min(Comparator.comparingLong(this::stopCost));
    }

    /** Plans preemption on the workers with the lowest cost of stops, regardless of racks. */
    Optional<Plan> planAnywhere(TaskGroup group, int count, String service) {
        return plan(capacity.candidates(group, service), group, count);
    }

    /** The work that a plan loses, in core-milliseconds. */
    long lostWork(Plan plan) {
        return plan.victims().stream()
                .flatMap(victim -> runsStoppedWith(victim).stream())
                .distinct()
                .mapToLong(run -> run.lostWork(now.monotonicMillis()))
                .sum();
    }

    private long stopCost(Plan plan) {
        return plan.victims().stream().mapToLong(this::stopCost).sum();
    }

    private Optional<Plan> plan(List<WorkerState> workers, TaskGroup group, int count) {
        List<WorkerState> hosts = new ArrayList<>();
        Set<Run> victims = new HashSet<>();
        Map<WorkerState, Integer> assigned = new HashMap<>();
        while (hosts.size() < count) {
            Optional<HostChoice> cheapest =
                    workers.stream()
                            .flatMap(
                                    worker ->
                                            cheapestChoice(worker, group, assigned, victims)
                                                    .stream())
                            .min(Comparator.comparingLong(HostChoice::cost));
            if (cheapest.isEmpty()) {
                return Optional.empty();
            }
            hosts.add(cheapest.get().worker());
            victims.addAll(cheapest.get().victims());
            assigned.merge(cheapest.get().worker(), 1, Integer::sum);
        }
        return Optional.of(new Plan(hosts, victims));
    }

    private record HostChoice(WorkerState worker, List<Run> victims, long cost) {}

    /** The cheapest way to fit one more task on a worker. */
    private Optional<HostChoice> cheapestChoice(
            WorkerState worker,
            TaskGroup group,
            Map<WorkerState, Integer> assigned,
            Set<Run> chosenVictims) {
        int needed = assigned.getOrDefault(worker, 0) + 1;
        Resources free = capacity.free(worker);
        for (Run run : worker.runs()) {
            if (chosenVictims.contains(run) || run.isBeingStopped()) {
                free = free.plus(run.group.spec().allocation());
            }
        }
        List<Run> additionalVictims = new ArrayList<>();
        long cost = 0;
        List<Run> preemptible =
                worker.runs().stream()
                        .filter(run -> !chosenVictims.contains(run) && isPreemptible(run))
                        .sorted(Comparator.comparingLong(this::stopCost))
                        .toList();
        for (Run run : preemptible) {
            if (TaskPlacer.fittingTasks(worker, group, free) >= needed) {
                break;
            }
            free = free.plus(run.group.spec().allocation());
            additionalVictims.add(run);
            cost += stopCost(run);
        }
        if (TaskPlacer.fittingTasks(worker, group, free) < needed) {
            return Optional.empty();
        }
        return Optional.of(new HostChoice(worker, additionalVictims, cost));
    }

    /** Less urgent runs are preemptible, unless their step limits how many may be unavailable. */
    private boolean isPreemptible(Run run) {
        return !run.isBeingStopped()
                && run.group.spec().maxUnavailable() == 0
                && priorityOf.applyAsInt(run) > priority;
    }

    /**
     * A gang is stopped as a whole, so stopping one member costs as much as stopping all. The 1
     * makes each stop cost more than none.
     */
    private long stopCost(Run run) {
        return 1
                + runsStoppedWith(run).stream()
                        .mapToLong(member -> member.stopCost(now.monotonicMillis()))
                        .sum();
    }

    private static Collection<Run> runsStoppedWith(Run run) {
        return run.group.spec().gang() ? run.group.runs() : List.of(run);
    }
}
