package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Predicts when workers will have capacity for all tasks of a group at once.
 *
 * <p>The prediction uses the progress and the estimates of the runs there, and leaves out capacity
 * that is reserved for other groups.
 */
final class Forecast {

    /** How much sooner another rack must be free for a reservation to move, in milliseconds. */
    private static final long MIN_GAIN_TO_MOVE_MILLIS = 500;

    /** The least time assumed until a run ends, also one that is being stopped, in milliseconds. */
    private static final long MIN_REMAINING_MILLIS = 200;

    /** Capacity for one task, and when it is expected to be free, on the monotonic clock. */
    private record Slot(WorkerState worker, long freeMillis) {}

    /**
     * A predicted start of all tasks together.
     *
     * @param hosts a worker for each task, not empty
     * @param freeMillis when capacity is expected on the last of them, on the monotonic clock
     */
    record Start(List<WorkerState> hosts, long freeMillis) {

        String rack() {
            return hosts.get(0).info().rack();
        }
    }

    private final RoundCapacity capacity;
    private final ClockReading now;

    Forecast(RoundCapacity capacity, ClockReading now) {
        this.capacity = capacity;
        this.now = now;
    }

    /** Finds the earliest start on one of several sets of workers, empty if it fits on none. */
    Optional<Start> earliestStart(
            TaskGroup group, int count, Collection<List<WorkerState>> workerSets) {
        return workerSets.stream()
                .filter(workers -> TaskPlacer.fitIfEmpty(workers, group, count))
                .flatMap(workers -> predictStart(group, count, workers).stream())
                .min(Comparator.comparingLong(start -> rankingMillis(group, start)));
    }

    private static long rankingMillis(TaskGroup group, Start start) {
        boolean keepsRack = start.rack().equals(group.reservedRack());
        return start.freeMillis() - (keepsRack ? MIN_GAIN_TO_MOVE_MILLIS : 0);
    }

    private Optional<Start> predictStart(TaskGroup group, int count, List<WorkerState> workers) {
        List<Slot> slots = new ArrayList<>();
        workers.forEach(worker -> addSlots(group, worker, slots));
        if (slots.size() < count) {
            return Optional.empty();
        }
        slots.sort(
                Comparator.comparingLong(Slot::freeMillis)
                        .thenComparing(slot -> slot.worker().id()));
        return Optional.of(
                new Start(
                        slots.subList(0, count).stream().map(Slot::worker).toList(),
                        slots.get(count - 1).freeMillis()));
    }

    /**
     * Adds slots for the capacity that is free now and for that which each run frees at its end.
     */
    private void addSlots(TaskGroup group, WorkerState worker, List<Slot> slots) {
        Resources free = capacity.unreserved(worker);
        int slotCount = addSlots(group, worker, free, 0, now.monotonicMillis(), slots);
        for (Run run : capacity.runsByEnd(worker)) {
            free = free.plus(run.group.spec().allocation());
            slotCount = addSlots(group, worker, free, slotCount, endMillis(run), slots);
        }
    }

    /**
     * Adds a slot for each fitting task beyond the first {@code slotCount}; returns the new count.
     */
    private static int addSlots(
            TaskGroup group,
            WorkerState worker,
            Resources free,
            int slotCount,
            long freeMillis,
            List<Slot> slots) {
        int fitting = TaskPlacer.fittingTasks(worker, group, free);
        for (int i = slotCount; i < fitting; i++) {
            slots.add(new Slot(worker, freeMillis));
        }
        return Math.max(slotCount, fitting);
    }

    private long endMillis(Run run) {
        long remainingMillis =
                run.isBeingStopped() ? 0 : run.remainingMillis(now.monotonicMillis());
        return now.monotonicMillis() + Math.max(MIN_REMAINING_MILLIS, remainingMillis);
    }
}
