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
 * Chooses workers for waiting tasks out of free room.
 *
 * <p>Load it answers: gangs and single tasks on workers that are partly taken, where a rack that
 * isn't the wanted one makes the work take several times as long, and where scattered leftovers
 * starve tasks that need a whole worker. Tasks go where they leave the least room over.
 */
final class TaskPlacer {

    private final RoundCapacity room;

    TaskPlacer(RoundCapacity room) {
        this.room = room;
    }

    /**
     * Chooses a worker for each task in the rack that the group wants; anywhere if it wants none.
     */
    Optional<List<WorkerState>> wanted(TaskGroup group, int count, List<WorkerState> all) {
        if (!wantsRack(group)) {
            return pack(all, group, count);
        }
        return wantedRacks(all, group).stream()
                .map(rack -> new Packed(rack, pack(rack, group, count)))
                .filter(packed -> packed.places().isPresent())
                .min(Comparator.comparingInt(this::freeAccelerators))
                .flatMap(Packed::places);
    }

    /** Chooses a worker for each task, wherever there is room. */
    Optional<List<WorkerState>> anywhere(TaskGroup group, int count, List<WorkerState> all) {
        return pack(all, group, count);
    }

    static boolean wantsRack(TaskGroup group) {
        return !group.spec().dataRack().isEmpty()
                || group.spec().gang() && group.spec().rackLocal();
    }

    /** The racks in which the group isn't slowed down: that of its data, else each by itself. */
    static Collection<List<WorkerState>> wantedRacks(List<WorkerState> workers, TaskGroup group) {
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

    private record Packed(List<WorkerState> rack, Optional<List<WorkerState>> places) {}

    private int freeAccelerators(Packed packed) {
        return packed.rack().stream().mapToInt(worker -> room.free(worker).accelerators()).sum();
    }

    private Optional<List<WorkerState>> pack(
            List<WorkerState> workers, TaskGroup group, int count) {
        int copies = 0;
        for (WorkerState worker : workers) {
            copies += copies(worker, group, room.freeFor(group, worker));
        }
        if (copies < count) {
            return Optional.empty();
        }
        List<WorkerState> places = new ArrayList<>();
        Map<WorkerState, Integer> taken = new HashMap<>();
        for (int i = 0; i < count; i++) {
            Optional<WorkerState> place = tightest(workers, group, taken);
            if (place.isEmpty()) {
                return Optional.empty();
            }
            places.add(place.get());
            taken.merge(place.get(), 1, Integer::sum);
        }
        return Optional.of(places);
    }

    private Optional<WorkerState> tightest(
            List<WorkerState> workers, TaskGroup group, Map<WorkerState, Integer> taken) {
        Resources demand = group.spec().allocation();
        WorkerState best = null;
        double bestLeft = Double.MAX_VALUE;
        for (WorkerState worker : workers) {
            int already = taken.getOrDefault(worker, 0);
            Resources free = room.freeFor(group, worker);
            if (copies(worker, group, free) <= already) {
                continue;
            }
            double left = leftover(worker, free, demand, already + 1);
            if (left < bestLeft) {
                best = worker;
                bestLeft = left;
            }
        }
        return Optional.ofNullable(best);
    }

    /** How many more tasks of the group fit, with the group's own limit for one worker. */
    static int copies(WorkerState worker, TaskGroup group, Resources free) {
        int copies = group.spec().allocation().copiesIn(free);
        int most = group.spec().maxPerWorker();
        if (most > 0) {
            long there = group.runs().stream().filter(run -> run.worker == worker).count();
            copies = (int) Math.min(copies, Math.max(0, most - there));
        }
        return copies;
    }

    private static double leftover(
            WorkerState worker, Resources free, Resources demand, int tasks) {
        Resources capacity = worker.info().capacity();
        Function<Resources, Double> shares =
                amount ->
                        share(amount.cpuMillis(), capacity.cpuMillis())
                                + share(amount.memoryMb(), capacity.memoryMb())
                                + share(amount.accelerators(), capacity.accelerators());
        return shares.apply(free) - tasks * shares.apply(demand);
    }

    private static double share(long amount, long whole) {
        return whole == 0 ? 0 : (double) amount / whole;
    }

    /** Whether workers could take the tasks if nothing else ran there. */
    static boolean couldTake(List<WorkerState> rack, TaskGroup group, int count) {
        return rack.stream()
                        .mapToInt(worker -> copies(worker, group, worker.info().capacity()))
                        .sum()
                >= count;
    }
}
