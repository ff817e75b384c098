package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.Resources;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Chooses workers with free capacity for waiting tasks, in one round.
 *
 * <p>Each task goes to the worker that has the least capacity left with it (best fit), as scattered
 * leftovers would starve tasks that need a whole worker. Work that runs outside its preferred rack
 * takes several times as long, so the caller decides whether other racks are tried.
 *
 * <p>Where run times on workers are known to differ, a gang gets the workers with the shortest run
 * time of its slowest member, and of these rather the slow ones, so that fast workers aren't slowed
 * down by others. Urgent work has the least time to spare, so its run time comes first. Other
 * single tasks leave fast workers to it.
 */
final class TaskPlacer {

    /**
     * The share of a worker's capacity that may be left so that a single urgent task runs shorter
     * by all of its run time. A difference in speed of 10% outweighs half of a worker.
     */
    private static final double URGENT_WEIGHT = 5;

    /**
     * The share of a worker's capacity that a less urgent single task may leave to spare a fast
     * worker.
     */
    private static final double SPARING_WEIGHT = 1;

    /**
     * The same for a gang that spares fast workers among those that aren't slower than its slowest
     * member.
     */
    private static final double SIMILARITY_WEIGHT = 1;

    private final RoundCapacity capacity;
    private final HostCost hostCost;
    private final HostCost singleTaskCost;
    private final Predicate<TaskGroup> isUrgent;

    /**
     * Creates a placer for one round.
     *
     * @param isUrgent whether a group belongs to the most urgent work
     */
    TaskPlacer(
            RoundCapacity capacity, FleetObservations observations, Predicate<TaskGroup> isUrgent) {
        this.capacity = capacity;
        this.hostCost = observations.hostCost();
        this.singleTaskCost = sparingFastWorkers(hostCost, observations.workerSpeeds());
        this.isUrgent = isUrgent;
    }

    private static HostCost sparingFastWorkers(HostCost cost, HostCost speedCost) {
        return (group, worker) ->
                cost.extraTimeShare(group, worker)
                        - (1 + SPARING_WEIGHT) * speedCost.extraTimeShare(group, worker);
    }

    /**
     * Chooses a worker for each task, all in one preferred rack, or in any rack if the group has no
     * preference. Of several suitable racks, the one with the fewest free accelerators is chosen.
     */
    Optional<List<WorkerState>> placeInPreferredRack(
            TaskGroup group, int count, List<WorkerState> workers) {
        if (!hasPreferredRack(group)) {
            return pack(workers, group, count).map(Placement::hosts);
        }
        Placement best = null;
        double lowestCost = Double.MAX_VALUE;
        for (List<WorkerState> rack : preferredRacks(workers, group)) {
            Optional<Placement> placement = pack(rack, group, count);
            if (placement.isPresent()) {
                double cost = rackCost(rack, group, count, placement.get().extraTime());
                if (cost < lowestCost) {
                    best = placement.get();
                    lowestCost = cost;
                }
            }
        }
        return Optional.ofNullable(best).map(Placement::hosts);
    }

    /** Chooses a worker for each task, regardless of racks. */
    Optional<List<WorkerState>> placeAnywhere(
            TaskGroup group, int count, List<WorkerState> workers) {
        return pack(workers, group, count).map(Placement::hosts);
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

    /**
     * Workers for all tasks of a group.
     *
     * @param extraTime the additional run time of the slowest member of a gang, as a share
     */
    private record Placement(List<WorkerState> hosts, double extraTime) {}

    /**
     * The cost of a rack in accelerators: those that are free, and those that the gang would occupy
     * for longer. An urgent gang counts as one that occupies the whole rack.
     */
    private double rackCost(List<WorkerState> rack, TaskGroup group, int count, double extraTime) {
        int free = 0;
        int total = 0;
        for (WorkerState worker : rack) {
            free += capacity.free(worker).accelerators();
            total += worker.info().capacity().accelerators();
        }
        double occupied =
                isUrgent.test(group)
                        ? URGENT_WEIGHT * total
                        : (double) count * group.spec().allocation().accelerators();
        return free + extraTime * occupied;
    }

    private Optional<Placement> pack(List<WorkerState> workers, TaskGroup group, int count) {
        boolean gang = group.spec().gang();
        boolean urgent = isUrgent.test(group);
        HostCost cost = gang || urgent ? hostCost : singleTaskCost;
        Packing packing = new Packing(workers, group, capacity, cost);
        if (!packing.fits(count)) {
            return Optional.empty();
        }
        if (!gang) {
            double weight = urgent ? URGENT_WEIGHT : 1;
            return Optional.of(new Placement(packing.choose(count, Double.MAX_VALUE, weight), 0));
        }
        double extraTime = packing.lowestExtraTime(count);
        return Optional.of(
                new Placement(packing.choose(count, extraTime, -SIMILARITY_WEIGHT), extraTime));
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

    /** Whether the tasks would fit on the workers if nothing else ran there. */
    static boolean fitIfEmpty(List<WorkerState> workers, TaskGroup group, int count) {
        return workers.stream()
                        .mapToInt(worker -> fittingTasks(worker, group, worker.info().capacity()))
                        .sum()
                >= count;
    }
}
