package io.cardamomshelf.core.membership;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Decides whether an instance's configuration is current enough to start tasks.
 *
 * <p>Use: {@code freshness.isFresh(now, lastTailRead, sights, others)} before each start. The
 * evidence is a read at the log's tail that is younger than the bound or, if the log is away, a
 * peer in every other live data centre that lately said it can't reach the log either: then no edit
 * can have been accepted that this instance doesn't know.
 *
 * <p>Immutable and thread-safe.
 *
 * @param boundMillis how old evidence may be, in milliseconds, 1 to 60,000
 */
public record ConfigurationFreshness(long boundMillis) {

    private static final long MAX_BOUND_MILLIS = 60_000;

    /**
     * What a peer last said.
     *
     * @param dataCentre where the peer is, not null
     * @param atMillis when it said so, in milliseconds
     * @param logReachable whether it reaches the log
     * @param configOffset the offset of its configuration
     */
    public record PeerReport(
            DataCentreId dataCentre, long atMillis, boolean logReachable, long configOffset) {}

    /**
     * Creates a rule.
     *
     * @throws IllegalArgumentException if the bound is out of range
     */
    public ConfigurationFreshness {
        Checks.range("boundMillis", boundMillis, 1, MAX_BOUND_MILLIS);
    }

    /**
     * Asks whether tasks may start now.
     *
     * @param nowMillis the time, in milliseconds
     * @param tailReadMillis when the log was last read to its tail, in milliseconds
     * @param ownOffset the offset of the own configuration
     * @param sights what peers last said, not null
     * @param others the other live data centres, not null
     * @return true if the configuration is current
     */
    public boolean isFresh(
            long nowMillis,
            long tailReadMillis,
            long ownOffset,
            Collection<PeerReport> sights,
            Set<DataCentreId> others) {
        if (nowMillis - tailReadMillis <= boundMillis) {
            return true;
        }
        return !others.isEmpty()
                && others.stream()
                        .allMatch(other -> isLogAwayAt(other, nowMillis, ownOffset, sights));
    }

    private boolean isLogAwayAt(
            DataCentreId other, long nowMillis, long ownOffset, Collection<PeerReport> sights) {
        List<PeerReport> recent =
                sights.stream()
                        .filter(sight -> sight.dataCentre().equals(other))
                        .filter(sight -> nowMillis - sight.atMillis() <= boundMillis)
                        .toList();
        return !recent.isEmpty()
                && recent.stream()
                        .noneMatch(
                                sight -> sight.logReachable() || sight.configOffset() > ownOffset);
    }
}
