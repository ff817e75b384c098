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
    private static final int MOST = 12;

    private final RoundCapacity room;
    private final Forecast forecast;
    private final ClockReading now;
    private int made;
    private boolean madeBeforeEquals;

    Reservations(RoundCapacity room, Forecast forecast, ClockReading now) {
        this.room = room;
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
            TaskGroup group, int count, int priority, Collection<List<WorkerState>> choices) {
        if (!group.spec().gang() || made >= MOST) {
            return Optional.empty();
        }
        Optional<Forecast.Start> chosen = forecast.soonest(group, count, choices);
        if (chosen.isEmpty()) {
            return chosen;
        }
        made++;
        Forecast.Start start = chosen.get();
        group.reserveRack(start.rack());
        int keptFrom = comesBeforeEquals(group, start) ? priority : priority + 1;
        for (WorkerState host : start.hosts()) {
            room.promise(host, group.spec().allocation(), keptFrom, start.freeMillis());
        }
        return chosen;
    }

    /** Whether it is the first gang that can still be in time, or has starved. */
    private boolean comesBeforeEquals(TaskGroup group, Forecast.Start start) {
        if (madeBeforeEquals) {
            return false;
        }
        long objective = group.owner().job().objectiveMillis();
        long inMillis = start.freeMillis() - now.monotonicMillis() + group.spec().estimateMillis();
        long since = now.wallMillis() - group.sinceMillis();
        madeBeforeEquals = since + inMillis <= objective || group.hasStarved(now);
        return madeBeforeEquals;
    }
}
