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
 * Chooses what to stop so that urgent work finds room.
 *
 * <p>Load it answers: urgent gangs that arrive while less urgent work fills the accelerators, some
 * of them inside a guarantee that must be met within seconds. It takes the runs whose stop throws
 * the least work away, and counts runs that are leaving already as free.
 */
final class Preemption {

    /**
     * What to stop, and where the tasks then go.
     *
     * @param hosts a worker for each task
     * @param victims the runs to stop
     */
    record Plan(List<WorkerState> hosts, Set<Run> victims) {}

    private final RoundCapacity room;
    private final ClockReading now;
    private final int priority;
    private final ToIntFunction<Run> priorityOf;

    Preemption(RoundCapacity room, ClockReading now, int priority, ToIntFunction<Run> priorityOf) {
        this.room = room;
        this.now = now;
        this.priority = priority;
        this.priorityOf = priorityOf;
    }

    /** Plans room in a rack that the group wants, the one where stops cost least. */
    Optional<Plan> wanted(TaskGroup group, int count, String service) {
        return TaskPlacer.wantedRacks(room.candidates(group, service), group).stream()
                .flatMap(rack -> plan(rack, group, count).stream())
                .min(Comparator.comparingLong(this::stopCost));
    }

    /** Plans room wherever stops cost least. */
    Optional<Plan> anywhere(TaskGroup group, int count, String service) {
        return plan(room.candidates(group, service), group, count);
    }

    /** The work that a plan throws away, in core-milliseconds. */
    long lostWork(Plan plan) {
        return plan.victims().stream()
                .flatMap(victim -> leavingWith(victim).stream())
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
        Map<WorkerState, Integer> taken = new HashMap<>();
        while (hosts.size() < count) {
            Optional<Step> next =
                    workers.stream()
                            .flatMap(worker -> next(worker, group, taken, victims).stream())
                            .min(Comparator.comparingLong(Step::cost));
            if (next.isEmpty()) {
                return Optional.empty();
            }
            hosts.add(next.get().worker());
            victims.addAll(next.get().victims());
            taken.merge(next.get().worker(), 1, Integer::sum);
        }
        return Optional.of(new Plan(hosts, victims));
    }

    private record Step(WorkerState worker, List<Run> victims, long cost) {}

    /** The cheapest way to fit one more task on a worker. */
    private Optional<Step> next(
            WorkerState worker, TaskGroup group, Map<WorkerState, Integer> taken, Set<Run> chosen) {
        int wanted = taken.getOrDefault(worker, 0) + 1;
        Resources free = room.free(worker);
        for (Run run : worker.runs()) {
            if (chosen.contains(run) || run.isLeaving()) {
                free = free.plus(run.group.spec().allocation());
            }
        }
        List<Run> more = new ArrayList<>();
        long cost = 0;
        List<Run> evictable =
                worker.runs().stream()
                        .filter(run -> !chosen.contains(run) && isEvictable(run))
                        .sorted(Comparator.comparingLong(this::stopCost))
                        .toList();
        for (Run run : evictable) {
            if (TaskPlacer.copies(worker, group, free) >= wanted) {
                break;
            }
            free = free.plus(run.group.spec().allocation());
            more.add(run);
            cost += stopCost(run);
        }
        if (TaskPlacer.copies(worker, group, free) < wanted) {
            return Optional.empty();
        }
        return Optional.of(new Step(worker, more, cost));
    }

    private boolean isEvictable(Run run) {
        return !run.isLeaving()
                && run.group.spec().maxUnavailable() == 0
                && priorityOf.applyAsInt(run) > priority;
    }

    /** A gang goes whole, so each of its members costs what all do. */
    private long stopCost(Run run) {
        return 1
                + leavingWith(run).stream()
                        .mapToLong(member -> member.stopCost(now.monotonicMillis()))
                        .sum();
    }

    private static Collection<Run> leavingWith(Run run) {
        return run.group.spec().gang() ? run.group.runs() : List.of(run);
    }
}
