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
import java.util.function.Predicate;

/**
 * Chooses the runs to stop so that a more urgent group gets capacity.
 *
 * <p>A plan stops the runs with the lowest cost, which is the lost work and the restart. Capacity
 * of runs that are already being stopped counts as free. A gang is stopped as a whole, so a plan
 * also uses the capacity of its other members. This class stops nothing itself: {@link Round}
 * carries out the plan.
 */
final class Preemption {

    /**
     * A set of runs to stop, and the workers that the tasks then fit on.
     *
     * @param hosts a worker for each task
     * @param victims the runs to stop, with all members of each gang
     */
    record Plan(List<WorkerState> hosts, Set<Run> victims) {}

    private final RoundCapacity capacity;
    private final ClockReading now;
    private final Predicate<Run> mayStop;

    /**
     * Creates the preemption for one group.
     *
     * @param mayStop whether a run may be stopped for the group
     */
    Preemption(RoundCapacity capacity, ClockReading now, Predicate<Run> mayStop) {
        this.capacity = capacity;
        this.now = now;
        this.mayStop = mayStop;
    }

    /** Plans preemption on the one of several sets of workers with the lowest cost of stops. */
    Optional<Plan> plan(TaskGroup group, int count, Collection<List<WorkerState>> workerSets) {
        return workerSets.stream()
                .flatMap(workers -> plan(workers, group, count).stream())
                .min(Comparator.comparingLong(this::stopCost));
    }

    /** The work that a plan loses, in core-milliseconds. */
    long lostWork(Plan plan) {
        return plan.victims().stream().mapToLong(run -> run.lostWork(now.monotonicMillis())).sum();
    }

    private long stopCost(Plan plan) {
        return stopCost(plan.victims());
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

    private record HostChoice(WorkerState worker, Set<Run> victims, long cost) {}

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
        Set<Run> additionalVictims = new HashSet<>();
        List<Run> preemptible =
                worker.runs().stream()
                        .filter(run -> !chosenVictims.contains(run) && isPreemptible(run))
                        .sorted(Comparator.comparingLong(run -> stopCost(runsStoppedWith(run))))
                        .toList();
        for (Run run : preemptible) {
            if (TaskPlacer.fittingTasks(worker, group, free) >= needed) {
                break;
            }
            free = free.plus(run.group.spec().allocation());
            additionalVictims.addAll(runsStoppedWith(run));
        }
        if (TaskPlacer.fittingTasks(worker, group, free) < needed) {
            return Optional.empty();
        }
        return Optional.of(new HostChoice(worker, additionalVictims, stopCost(additionalVictims)));
    }

    /** Runs are preemptible unless their step limits how many may be unavailable. */
    private boolean isPreemptible(Run run) {
        return !run.isBeingStopped() && run.group.spec().maxUnavailable() == 0 && mayStop.test(run);
    }

    /** The cost of stopping runs; the 1 makes each stop cost more than none. */
    private long stopCost(Collection<Run> runs) {
        return runs.stream().mapToLong(run -> 1 + run.stopCost(now.monotonicMillis())).sum();
    }

    private static Collection<Run> runsStoppedWith(Run run) {
        return run.group.spec().gang() ? run.group.runs() : List.of(run);
    }
}
