package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Tells when workers are likely to have room for all tasks of a group, by the progress and the
 * estimates of what runs there, without the room that was promised to others.
 */
final class Forecast {

    /** How much sooner another rack must be free before a promise moves there, in milliseconds. */
    private static final long MIN_GAIN_TO_MOVE_MILLIS = 500;

    /** The soonest that a run is taken to end, in milliseconds; one that is leaving takes this. */
    private static final long MIN_REMAINING_MILLIS = 200;

    /** Room for one task, and when it is likely to be free on the steady clock. */
    private record Slot(WorkerState worker, long freeMillis) {}

    /**
     * Where all tasks could start together.
     *
     * @param hosts a worker for each task, not empty
     * @param freeMillis when the last of them is likely to be free, on the steady clock
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

    /** Finds the soonest start on one of several sets of workers, empty if none could take it. */
    Optional<Start> earliestStart(
            TaskGroup group, int count, Collection<List<WorkerState>> workerSets) {
        return workerSets.stream()
                .filter(workers -> TaskPlacer.fitIfEmpty(workers, group, count))
                .flatMap(workers -> start(group, count, workers).stream())
                .min(Comparator.comparingLong(start -> rankingMillis(group, start)));
    }

    private static long rankingMillis(TaskGroup group, Start start) {
        boolean keepsRack = start.rack().equals(group.reservedRack());
        return start.freeMillis() - (keepsRack ? MIN_GAIN_TO_MOVE_MILLIS : 0);
    }

    private Optional<Start> start(TaskGroup group, int count, List<WorkerState> workers) {
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

    /** Adds what is free now and what each run leaves at its end. */
    private void addSlots(TaskGroup group, WorkerState worker, List<Slot> slots) {
        Resources free = capacity.unreserved(worker);
        int slotCount = addSlots(group, worker, free, 0, now.steadyMillis(), slots);
        for (Run run : capacity.runsByEnd(worker)) {
            free = free.plus(run.group.spec().allocation());
            slotCount = addSlots(group, worker, free, slotCount, endMillis(run), slots);
        }
    }

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
        long remainingMillis = run.isBeingStopped() ? 0 : run.remainingMillis(now.steadyMillis());
        return now.steadyMillis() + Math.max(MIN_REMAINING_MILLIS, remainingMillis);
    }
}
