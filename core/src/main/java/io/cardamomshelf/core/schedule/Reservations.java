package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Promises room to gangs that wait, in one round.
 *
 * <p>Load it answers: a gang needs many accelerators at once, while a stream of small, less urgent
 * tasks takes each gap as soon as it opens, so that the gang waits although it comes first. Each
 * gang is promised the room that is likely to be free soonest. Less urgent work is kept out of that
 * room unless it ends before the gang can start; equally urgent work that fits now is not, as a
 * wide gang would make the narrow ones behind it wait for room that stands idle. One gang at a time
 * is promised room before its equals too: the first that can still be in time, as wide gangs would
 * starve otherwise.
 */
final class Reservations {

    /** Gangs that are promised room at the same time; bounds the work of a round. */
    private static final int MOST = 40;

    /** A gang that waits so often its objective has starved, and comes before its equals. */
    private static final int STARVED_FACTOR = 2;

    /** How much sooner another rack must be free before a promise moves there, in milliseconds. */
    private static final long MOVE_MILLIS = 500;

    /** The soonest that a run is taken to end, in milliseconds; one that is leaving takes this. */
    private static final long SOONEST_MILLIS = 200;

    /** Room for one task of a gang, and when it is likely to be free on the steady clock. */
    private record Slot(WorkerState worker, long freeMillis) {}

    private final RoomBook room;
    private final Moment now;
    private int made;
    private boolean madeBeforeEquals;

    Reservations(RoomBook room, Moment now) {
        this.room = room;
        this.now = now;
    }

    /**
     * Promises room to a waiting gang on one of several sets of workers, if any could take it.
     *
     * @param priority that of the gang's queue
     */
    void reserve(TaskGroup group, int count, int priority, Collection<List<WorkerState>> choices) {
        if (!group.spec().gang() || made >= MOST) {
            return;
        }
        Optional<List<Slot>> chosen = soonest(group, count, choices);
        if (chosen.isEmpty()) {
            return;
        }
        made++;
        List<Slot> slots = chosen.get();
        group.reserveRack(slots.get(0).worker().info().rack());
        int keptFrom = comesBeforeEquals(group, freeMillis(slots)) ? priority : priority + 1;
        for (Slot slot : slots) {
            room.promise(slot.worker(), group.spec().allocation(), keptFrom, freeMillis(slots));
        }
    }

    /** Whether it is the first gang that can still be in time, or has starved. */
    private boolean comesBeforeEquals(TaskGroup group, long startMillis) {
        if (madeBeforeEquals) {
            return false;
        }
        long objective = group.owner().job().objectiveMillis();
        long inMillis = startMillis - now.steadyMillis() + group.spec().estimateMillis();
        long since = now.wallMillis() - group.owner().job().acceptedMillis();
        madeBeforeEquals = since + inMillis <= objective || since > STARVED_FACTOR * objective;
        return madeBeforeEquals;
    }

    /** The slots of the set of workers on which all tasks could start soonest. */
    private Optional<List<Slot>> soonest(
            TaskGroup group, int count, Collection<List<WorkerState>> choices) {
        return choices.stream()
                .filter(workers -> Placer.couldTake(workers, group, count))
                .map(workers -> slots(group, count, workers))
                .filter(slots -> slots.size() == count)
                .min(Comparator.comparingLong(slots -> readiness(group, slots)));
    }

    private long readiness(TaskGroup group, List<Slot> slots) {
        boolean stays = slots.get(0).worker().info().rack().equals(group.reservedRack());
        return freeMillis(slots) - (stays ? MOVE_MILLIS : 0);
    }

    /** When the last of the slots is likely to be free. */
    private static long freeMillis(List<Slot> slots) {
        return slots.get(slots.size() - 1).freeMillis();
    }

    private List<Slot> slots(TaskGroup group, int count, List<WorkerState> workers) {
        List<Slot> slots = new ArrayList<>();
        workers.forEach(worker -> addSlots(group, worker, slots));
        slots.sort(
                Comparator.comparingLong(Slot::freeMillis)
                        .thenComparing(slot -> slot.worker().id()));
        return slots.subList(0, Math.min(count, slots.size()));
    }

    /** Adds what is free now and what each run leaves at its end, without what was promised. */
    private void addSlots(TaskGroup group, WorkerState worker, List<Slot> slots) {
        Resources free = room.unpromised(worker);
        int known = addSlots(group, worker, free, 0, now.steadyMillis(), slots);
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
        int copies = Placer.copies(worker, group, free);
        for (int i = known; i < copies; i++) {
            slots.add(new Slot(worker, millis));
        }
        return Math.max(known, copies);
    }

    private long endMillis(Run run) {
        long left = run.isLeaving() ? 0 : run.remainingMillis(now.steadyMillis());
        return now.steadyMillis() + Math.max(SOONEST_MILLIS, left);
    }
}
