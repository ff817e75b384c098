package io.cardamomshelf.entry;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import java.util.List;

/**
 * Lets a dispatch round through only if something has changed since the last one, or a second has
 * passed, for most rounds of a long queue would find what the last one found.
 *
 * <p>Use: {@code if (gate.isDue(sight, now)) ...}, then {@code passed(sight, now)} with the sight
 * after the round, whose own trials change the fleet's version.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class RoundGate {

    /** Ages, settled jobs and estimated ends change by time alone. */
    static final long LONGEST_MILLIS = 1_000;

    /**
     * What a round decides by, but for the time.
     *
     * @param waiting the waiting jobs in order, not null
     * @param fleetVersion the version of the fleet
     * @param configOffset the offset of the configuration
     * @param startable the data centres that may start work, not null
     */
    record Sight(
            List<JobId> waiting,
            long fleetVersion,
            long configOffset,
            List<DataCentreId> startable) {

        Sight {
            waiting = List.copyOf(waiting);
            startable = List.copyOf(startable);
        }

        Sight withFleetVersion(long version) {
            return new Sight(waiting, version, configOffset, startable);
        }
    }

    private Sight last;
    private long lastMillis;

    boolean isDue(Sight sight, long nowMillis) {
        return !sight.equals(last) || nowMillis - lastMillis >= LONGEST_MILLIS;
    }

    void passed(Sight sight, long nowMillis) {
        last = sight;
        lastMillis = nowMillis;
    }
}
