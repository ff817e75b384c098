package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.StepSpec;
import java.util.ArrayList;
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
final class Placer {

    /** Waiting for the wanted rack pays while it is shorter than the estimate times this. */
    private static final double PATIENCE_FACTOR = 1.0;

    /** The shortest and longest wait for the wanted rack, in milliseconds. */
    private static final long MIN_PATIENCE_MILLIS = 500;

    private static final long MAX_PATIENCE_MILLIS = 8_000;

    /** How long the most urgent work waits for the wanted rack, in milliseconds. */
    private static final long URGENT_PATIENCE_MILLIS = 600;

    private final RoomBook room;
    private final Moment now;

    Placer(RoomBook room, Moment now) {
        this.room = room;
        this.now = now;
    }

    /** Chooses a worker for each of {@code count} tasks of a gang, or none. */
    Optional<List<WorkerState>> gang(TaskGroup group, int count, String service, int priority) {
        List<WorkerState> all = room.candidates(group, service);
        StepSpec spec = group.spec();
        if (!spec.rackLocal() && spec.dataRack().isEmpty()) {
            return pack(all, group, count);
        }
        Map<String, List<WorkerState>> racks = byRack(all);
        if (!spec.dataRack().isEmpty()) {
            List<WorkerState> near = racks.getOrDefault(spec.dataRack(), List.of());
            Optional<List<WorkerState>> place = pack(near, group, count);
            if (place.isPresent() || isWorthWaiting(near, group, count, priority)) {
                return place;
            }
        }
        if (spec.rackLocal()) {
            Optional<List<WorkerState>> place = tightestRack(racks, group, count);
            if (place.isPresent()
                    || racks.values().stream()
                            .anyMatch(rack -> isWorthWaiting(rack, group, count, priority))) {
                return place;
            }
        }
        return pack(all, group, count);
    }

    /** Chooses a worker for one task. */
    Optional<WorkerState> single(TaskGroup group, String service, int priority) {
        List<WorkerState> all = room.candidates(group, service);
        String dataRack = group.spec().dataRack();
        if (!dataRack.isEmpty()) {
            List<WorkerState> near = byRack(all).getOrDefault(dataRack, List.of());
            Optional<WorkerState> place = tightest(near, group, Map.of());
            if (place.isPresent() || isWorthWaiting(near, group, 1, priority)) {
                return place;
            }
        }
        return tightest(all, group, Map.of());
    }

    static Map<String, List<WorkerState>> byRack(List<WorkerState> workers) {
        return workers.stream()
                .collect(
                        Collectors.groupingBy(
                                worker -> worker.info().rack(), TreeMap::new, Collectors.toList()));
    }

    private Optional<List<WorkerState>> tightestRack(
            Map<String, List<WorkerState>> racks, TaskGroup group, int count) {
        return racks.values().stream()
                .map(rack -> new Packed(rack, pack(rack, group, count)))
                .filter(packed -> packed.places().isPresent())
                .min(Comparator.comparingInt(this::freeAccelerators))
                .flatMap(Packed::places);
    }

    private record Packed(List<WorkerState> rack, Optional<List<WorkerState>> places) {}

    private int freeAccelerators(Packed packed) {
        return packed.rack().stream().mapToInt(worker -> room.free(worker).accelerators()).sum();
    }

    private Optional<List<WorkerState>> pack(
            List<WorkerState> workers, TaskGroup group, int count) {
        int copies = 0;
        for (WorkerState worker : workers) {
            copies += copies(worker, group, room.free(worker));
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
            Resources free = room.free(worker);
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

    /** Whether these workers could take the tasks once they are free, and soon enough. */
    private boolean isWorthWaiting(
            List<WorkerState> workers, TaskGroup group, int count, int priority) {
        long waited = now.wallMillis() - group.readyMillis();
        if (waited >= patienceMillis(group, priority)) {
            return false;
        }
        int copies =
                workers.stream()
                        .mapToInt(worker -> copies(worker, group, worker.info().capacity()))
                        .sum();
        return copies >= count;
    }

    private static long patienceMillis(TaskGroup group, int priority) {
        if (priority == 0) {
            return URGENT_PATIENCE_MILLIS;
        }
        long worth = (long) (PATIENCE_FACTOR * group.spec().estimateMillis());
        return Math.min(MAX_PATIENCE_MILLIS, Math.max(MIN_PATIENCE_MILLIS, worth));
    }
}
