package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.Resources;
import java.util.ArrayList;
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

    private final RoomBook room;
    private final Moment now;
    private final int priority;
    private final ToIntFunction<Run> priorityOf;

    Preemption(RoomBook room, Moment now, int priority, ToIntFunction<Run> priorityOf) {
        this.room = room;
        this.now = now;
        this.priority = priority;
        this.priorityOf = priorityOf;
    }

    /** Plans room for {@code count} tasks, in one rack if they want that and one can do it. */
    Optional<Plan> plan(TaskGroup group, int count, String service) {
        List<WorkerState> all = room.candidates(group, service);
        Map<String, List<WorkerState>> racks = Placer.byRack(all);
        String dataRack = group.spec().dataRack();
        if (!dataRack.isEmpty()) {
            Optional<Plan> near = plan(racks.getOrDefault(dataRack, List.of()), group, count);
            if (near.isPresent()) {
                return near;
            }
        }
        if (group.spec().rackLocal()) {
            Optional<Plan> rack =
                    racks.values().stream()
                            .flatMap(workers -> plan(workers, group, count).stream())
                            .min(Comparator.comparingLong(this::cost));
            if (rack.isPresent()) {
                return rack;
            }
        }
        return plan(all, group, count);
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
                        .sorted(Comparator.comparingLong(this::lostWork))
                        .toList();
        for (Run run : evictable) {
            if (Placer.copies(worker, group, free) >= wanted) {
                break;
            }
            free = free.plus(run.group.spec().allocation());
            more.add(run);
            cost += lostWork(run);
        }
        if (Placer.copies(worker, group, free) < wanted) {
            return Optional.empty();
        }
        return Optional.of(new Step(worker, more, cost));
    }

    private boolean isEvictable(Run run) {
        return !run.isLeaving()
                && run.group.spec().maxUnavailable() == 0
                && priorityOf.applyAsInt(run) > priority;
    }

    private long cost(Plan plan) {
        return plan.victims().stream().mapToLong(this::lostWork).sum();
    }

    /** A gang goes whole, so each of its members costs what all lose. */
    private long lostWork(Run run) {
        if (!run.group.spec().gang()) {
            return 1 + run.lostWork(now.steadyMillis());
        }
        return 1
                + run.group.runs().stream()
                        .mapToLong(member -> member.lostWork(now.steadyMillis()))
                        .sum();
    }
}
