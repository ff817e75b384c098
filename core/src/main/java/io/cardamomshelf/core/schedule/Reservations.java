package io.cardamomshelf.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Keeps room free for gangs that wait, in one round.
 *
 * <p>Load it answers: a gang needs many accelerators at once, while a stream of small tasks takes
 * each gap as soon as it opens, so that the gang would starve or run outside its rack. The gangs
 * that have waited longest get the room that becomes free on the workers that are nearest to having
 * enough; more urgent work passes them.
 */
final class Reservations {

    /** Gangs that are kept room for at the same time; each lets some room stand idle. */
    private static final int MOST = 2;

    /** How long a gang waits before room is kept for it, in milliseconds. */
    private static final long AFTER_MILLIS = 1_000;

    private final RoomBook room;
    private final Moment now;
    private int made;

    Reservations(RoomBook room, Moment now) {
        this.room = room;
        this.now = now;
    }

    /** Keeps room for a waiting gang on one of several sets of workers, if it is its turn. */
    void reserve(TaskGroup group, int count, Collection<List<WorkerState>> choices) {
        boolean isDue = now.wallMillis() - group.readyMillis() >= AFTER_MILLIS;
        if (!group.spec().gang() || !isDue || made >= MOST) {
            return;
        }
        Optional<List<WorkerState>> chosen = choose(group, count, choices);
        if (chosen.isPresent()) {
            made++;
            group.reserveRack(chosen.get().get(0).info().rack());
            hold(group, count, chosen.get());
        }
    }

    /** The rack of the rounds before if there is one, as moving on would lose what was kept. */
    private Optional<List<WorkerState>> choose(
            TaskGroup group, int count, Collection<List<WorkerState>> choices) {
        return choices.stream()
                .filter(workers -> Placer.couldTake(workers, group, count))
                .max(
                        Comparator.comparing(
                                        (List<WorkerState> workers) -> isReserved(group, workers))
                                .thenComparingInt(this::freeAccelerators));
    }

    private static boolean isReserved(TaskGroup group, List<WorkerState> workers) {
        return workers.get(0).info().rack().equals(group.reservedRack());
    }

    private void hold(TaskGroup group, int count, List<WorkerState> workers) {
        List<WorkerState> emptiest = new ArrayList<>(workers);
        emptiest.sort(
                Comparator.comparingInt((WorkerState worker) -> -room.free(worker).accelerators())
                        .thenComparing(WorkerState::id));
        int left = count;
        for (WorkerState worker : emptiest) {
            int copies = Placer.copies(worker, group, worker.info().capacity());
            for (int i = 0; i < copies && left > 0; i++) {
                room.hold(worker, group.spec().allocation());
                left--;
            }
        }
    }

    private int freeAccelerators(List<WorkerState> workers) {
        return workers.stream().mapToInt(worker -> room.free(worker).accelerators()).sum();
    }
}
