package io.cardamomshelf.core.schedule;

import java.util.Collection;
import java.util.List;

/**
 * Decides whether work waits for the rack that it wants or runs elsewhere, several times as long.
 *
 * <p>Load it answers: gangs whose racks are busy while there is room elsewhere. A detour makes its
 * own callers wait and takes the room from others for several times the work, so work waits while
 * its rack is likely to be free before a detour's extra time has passed, however long it has waited
 * already.
 */
final class LocalityPolicy {

    /** How often its time work takes outside the rack that it wants; the platform's promise. */
    private static final long FACTOR = 3;

    /** How long the most urgent work waits for the wanted rack, in milliseconds. */
    private static final long URGENT_PATIENCE_MILLIS = 1_200;

    private final Forecast forecast;
    private final ClockReading now;

    LocalityPolicy(Forecast forecast, ClockReading now) {
        this.forecast = forecast;
        this.now = now;
    }

    /** Whether one of the racks that a group wants could take its tasks, and soon enough. */
    boolean isWorthWaiting(
            TaskGroup group, int count, boolean urgent, Collection<List<WorkerState>> racks) {
        if (urgent) {
            return now.wallMillis() - group.readyMillis() < URGENT_PATIENCE_MILLIS
                    && racks.stream().anyMatch(rack -> TaskPlacer.couldTake(rack, group, count));
        }
        long latest = now.monotonicMillis() + extraMillis(group);
        return !group.hasStarved(now)
                && forecast.soonest(group, count, racks)
                        .filter(start -> start.freeMillis() <= latest)
                        .isPresent();
    }

    /** What the tasks would take more, in core-milliseconds, outside the rack that they want. */
    static long extraWork(TaskGroup group, int count) {
        return extraMillis(group) * Run.cores(group.spec()) * count;
    }

    private static long extraMillis(TaskGroup group) {
        return (FACTOR - 1) * group.spec().estimateMillis();
    }
}
