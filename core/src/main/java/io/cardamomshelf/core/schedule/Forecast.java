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
    private static final long MOVE_MILLIS = 500;

    /** The soonest that a run is taken to end, in milliseconds; one that is leaving takes this. */
    private static final long SOONEST_MILLIS = 200;

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

    private final RoundCapacity room;
    private final ClockReading now;

    Forecast(RoundCapacity room, ClockReading now) {
        this.room = room;
        this.now = now;
    }

    /** Finds the soonest start on one of several sets of workers, empty if none could take it. */
    Optional<Start> soonest(TaskGroup group, int count, Collection<List<WorkerState>> choices) {
        return choices.stream()
                .filter(workers -> TaskPlacer.couldTake(workers, group, count))
                .flatMap(workers -> start(group, count, workers).stream())
                .min(Comparator.comparingLong(start -> readiness(group, start)));
    }

    private static long readiness(TaskGroup group, Start start) {
        boolean stays = start.rack().equals(group.reservedRack());
        return start.freeMillis() - (stays ? MOVE_MILLIS : 0);
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
        Resources free = room.unpromised(worker);
        int known = addSlots(group, worker, free, 0, now.monotonicMillis(), slots);
        for (Run run : room.byEnd(worker)) {
            free = free.plus(run.group.spec().allocation());
            known = addSlots(group, worker, free, known, endMillis(run), slots);
        }
    }

    private static int addSlots(
            TaskGroup group,
            WorkerState worker,
            Resources free,
            int known,
            long millis,
            List<Slot> slots) {
        int copies = TaskPlacer.copies(worker, group, free);
        for (int i = known; i < copies; i++) {
            slots.add(new Slot(worker, millis));
        }
        return Math.max(known, copies);
    }

    private long endMillis(Run run) {
        long left = run.isLeaving() ? 0 : run.remainingMillis(now.monotonicMillis());
        return now.monotonicMillis() + Math.max(SOONEST_MILLIS, left);
    }
}
