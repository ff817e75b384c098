package io.cardamomshelf.core.schedule;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Reserves capacity for waiting gangs. Each {@link Round} creates its own instance.
 *
 * <p>A gang needs many accelerators at once. Without reservations, a stream of small, less urgent
 * tasks would use each gap as soon as it opens, and the gang would wait although it comes first.
 * Each gang gets the capacity that is expected to be free soonest. Less urgent work, which has a
 * higher priority number, may use that capacity only if it ends before the gang can start. Work of
 * equal priority may use it if it fits now; otherwise narrow gangs would wait behind a wide one
 * while capacity is idle.
 *
 * <p>While a service is mostly idle, a reservation delays other work for a short time only: the
 * gang may wait for much longer than its forecast says, and the capacity would be idle all the
 * while.
 *
 * <p>Because wide gangs could starve this way, one gang in each round is also protected from work
 * of equal priority. It is the first gang of the round that can still meet its objective or that
 * has starved.
 */
final class Reservations {

    /** The most gangs with a reservation in a round; limits the computing time of a round. */
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
     * Predicts when a gang can start on one of several sets of workers.
     *
     * @return the earliest start, empty if the group isn't a gang, if it doesn't fit, or if the
     *     round has made all of its reservations
     */
    Optional<Forecast.Start> earliestStart(
            TaskGroup group, int count, Collection<List<WorkerState>> workerSets) {
        return group.spec().gang() && reservationCount < MAX_RESERVATIONS
                ? forecast.earliestStart(group, count, workerSets)
                : Optional.empty();
    }

    /** Whether a gang that could still meet its objective misses it with this start. */
    boolean missesObjective(TaskGroup group, Forecast.Start start) {
        long wallMillis = now.wallMillis() + start.freeMillis() - now.monotonicMillis();
        return group.hasEstimate()
                && now.wallMillis() <= group.latestStartMillis()
                && wallMillis > group.latestStartMillis();
    }

    /**
     * Reserves the capacity of a predicted start for a gang.
     *
     * @param priority the priority of the gang's queue
     */
    void reserve(TaskGroup group, Forecast.Start start, int priority) {
        reservationCount++;
        group.setReservedRack(start.rack());
        int excludedFromPriority = takesPrecedence(group, start) ? priority : priority + 1;
        for (WorkerState host : start.hosts()) {
            capacity.reserve(
                    host, group.spec().allocation(), excludedFromPriority, start.freeMillis());
        }
    }

    /**
     * Returns whether a gang is protected from work of equal priority; at most one in a round is.
     */
    private boolean takesPrecedence(TaskGroup group, Forecast.Start start) {
        if (precedenceGiven) {
            return false;
        }
        long objectiveMillis = group.owner().job().objectiveMillis();
        long untilEndMillis =
                start.freeMillis() - now.monotonicMillis() + group.spec().estimateMillis();
        long waitedMillis = now.wallMillis() - group.objectiveStartMillis();
        precedenceGiven = waitedMillis + untilEndMillis <= objectiveMillis || group.hasStarved(now);
        return precedenceGiven;
    }
}
