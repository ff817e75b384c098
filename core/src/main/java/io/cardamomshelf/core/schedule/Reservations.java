package io.cardamomshelf.core.schedule;

import java.util.Collection;
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
    private static final int MAX_RESERVATIONS = 12;

    private final RoundCapacity capacity;
    private final Forecast forecast;
    private final ClockReading now;
    private int reservationCount;
    private boolean precedenceGiven;

    Reservations(RoundCapacity capacity, Forecast forecast, ClockReading now) {
        this.capacity = capacity;
        this.forecast = forecast;
        this.now = now;
    }

    /**
     * Promises room to a waiting gang on one of several sets of workers, if any could take it.
     *
     * @param priority that of the gang's queue
     * @return where it is likely to start, empty if it was promised nothing
     */
    Optional<Forecast.Start> reserve(
            TaskGroup group, int count, int priority, Collection<List<WorkerState>> workerSets) {
        if (!group.spec().gang() || reservationCount >= MAX_RESERVATIONS) {
            return Optional.empty();
        }
        Optional<Forecast.Start> chosen = forecast.earliestStart(group, count, workerSets);
        if (chosen.isEmpty()) {
            return chosen;
        }
        reservationCount++;
        Forecast.Start start = chosen.get();
        group.reserveRack(start.rack());
        int excludedFromPriority = takesPrecedence(group, start) ? priority : priority + 1;
        for (WorkerState host : start.hosts()) {
            capacity.reserve(
                    host, group.spec().allocation(), excludedFromPriority, start.freeMillis());
        }
        return chosen;
    }

    /** Whether it is the first gang that can still be in time, or has starved. */
    private boolean takesPrecedence(TaskGroup group, Forecast.Start start) {
        if (precedenceGiven) {
            return false;
        }
        long objectiveMillis = group.owner().job().objectiveMillis();
        long untilEndMillis =
                start.freeMillis() - now.steadyMillis() + group.spec().estimateMillis();
        long waitedMillis = now.wallMillis() - group.objectiveStartMillis();
        precedenceGiven = waitedMillis + untilEndMillis <= objectiveMillis || group.hasStarved(now);
        return precedenceGiven;
    }
}
