package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Chooses workers with free capacity for waiting tasks, in one round.
 *
 * <p>Each task goes to the worker that has the least capacity left with it (best fit), as scattered
 * leftovers would starve tasks that need a whole worker. Work that runs outside its preferred rack
 * takes several times as long, so the caller decides whether other racks are tried.
 */
final class TaskPlacer {

    private final RoundCapacity capacity;
    private final HostCost hostCost;

    TaskPlacer(RoundCapacity capacity, HostCost hostCost) {
        this.capacity = capacity;
        this.hostCost = hostCost;
    }

    /**
     * Chooses a worker for each task, all in one preferred rack, or in any rack if the group has no
     * preference. Of several suitable racks, the one with the fewest free accelerators is chosen.
     */
    Optional<List<WorkerState>> placeInPreferredRack(
            TaskGroup group, int count, List<WorkerState> workers) {
        if (!hasPreferredRack(group)) {
            return pack(workers, group, count);
        }
        return preferredRacks(workers, group).stream()
                .map(rack -> new RackPlacement(rack, pack(rack, group, count)))
                .filter(placement -> placement.hosts().isPresent())
                .min(Comparator.comparingInt(this::freeAccelerators))
                .flatMap(RackPlacement::hosts);
    }

    /** Chooses a worker for each task, regardless of racks. */
    Optional<List<WorkerState>> placeAnywhere(
            TaskGroup group, int count, List<WorkerState> workers) {
        return pack(workers, group, count);
    }

    /** How many tasks of the group fit on the workers now. */
    int countFitting(TaskGroup group, List<WorkerState> workers) {
        return workers.stream()
                .mapToInt(worker -> fittingTasks(worker, group, capacity.freeFor(group, worker)))
                .sum();
    }

    static boolean hasPreferredRack(TaskGroup group) {
        return !group.spec().dataRack().isEmpty()
                || group.spec().gang() && group.spec().rackLocal();
    }

    /** The racks in which the group runs at full speed: that of its data, else each rack. */
    static Collection<List<WorkerState>> preferredRacks(
            List<WorkerState> workers, TaskGroup group) {
        Map<String, List<WorkerState>> racks = byRack(workers);
        String dataRack = group.spec().dataRack();
        return dataRack.isEmpty()
                ? racks.values()
                : List.of(racks.getOrDefault(dataRack, List.of()));
    }

    static Map<String, List<WorkerState>> byRack(List<WorkerState> workers) {
        return workers.stream()
                .collect(
                        Collectors.groupingBy(
                                worker -> worker.info().rack(), TreeMap::new, Collectors.toList()));
    }

    private record RackPlacement(List<WorkerState> rack, Optional<List<WorkerState>> hosts) {}

    private int freeAccelerators(RackPlacement placement) {
        return placement.rack().stream()
                .mapToInt(worker -> capacity.free(worker).accelerators())
                .sum();
    }

    private Optional<List<WorkerState>> pack(
            List<WorkerState> workers, TaskGroup group, int count) {
        int fitting = 0;
        for (WorkerState worker : workers) {
            fitting += fittingTasks(worker, group, capacity.freeFor(group, worker));
        }
        if (fitting < count) {
            return Optional.empty();
        }
        List<WorkerState> hosts = new ArrayList<>();
        Map<WorkerState, Integer> assigned = new HashMap<>();
        for (int i = 0; i < count; i++) {
            Optional<WorkerState> host = tightestFit(workers, group, assigned);
            if (host.isEmpty()) {
                return Optional.empty();
            }
            hosts.add(host.get());
            assigned.merge(host.get(), 1, Integer::sum);
        }
        return Optional.of(hosts);
    }

    private Optional<WorkerState> tightestFit(
            List<WorkerState> workers, TaskGroup group, Map<WorkerState, Integer> assigned) {
        Resources demand = group.spec().allocation();
        WorkerState best = null;
        double lowestCost = Double.MAX_VALUE;
        for (WorkerState worker : workers) {
            int assignedHere = assigned.getOrDefault(worker, 0);
            Resources free = capacity.freeFor(group, worker);
            if (fittingTasks(worker, group, free) <= assignedHere) {
                continue;
            }
            double cost =
                    leftoverShare(worker, free, demand, assignedHere + 1)
                            + hostCost.extraTimeShare(group, worker);
            if (cost < lowestCost) {
                best = worker;
                lowestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * How many more tasks of the group fit, within the group's limit for one worker; at most as
     * many as it has, so that the numbers of many workers can be added.
     */
    static int fittingTasks(WorkerState worker, TaskGroup group, Resources free) {
        int fitting = Math.min(group.spec().allocation().copiesIn(free), group.spec().count());
        int maxPerWorker = group.spec().maxPerWorker();
        if (maxPerWorker > 0) {
            long current = group.runs().stream().filter(run -> run.worker == worker).count();
            fitting = (int) Math.min(fitting, Math.max(0, maxPerWorker - current));
        }
        return fitting;
    }

    private static double leftoverShare(
            WorkerState worker, Resources free, Resources demand, int tasks) {
        Resources total = worker.info().capacity();
        Function<Resources, Double> summedShares =
                amount ->
                        share(amount.cpuMillis(), total.cpuMillis())
                                + share(amount.memoryMb(), total.memoryMb())
                                + share(amount.accelerators(), total.accelerators());
        return summedShares.apply(free) - tasks * summedShares.apply(demand);
    }

    private static double share(long amount, long total) {
        return total == 0 ? 0 : (double) amount / total;
    }

    /** Whether the tasks would fit on the workers if nothing else ran there. */
    static boolean fitIfEmpty(List<WorkerState> workers, TaskGroup group, int count) {
        return workers.stream()
                        .mapToInt(worker -> fittingTasks(worker, group, worker.info().capacity()))
                        .sum()
                >= count;
    }
}
