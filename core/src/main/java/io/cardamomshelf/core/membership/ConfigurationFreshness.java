package io.cardamomshelf.core.membership;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Decides whether an instance's configuration is current enough to start tasks.
 *
 * <p>Use: {@code freshness.isFresh(now, lastTailRead, ownOffset, peerReports, otherDataCentres)}
 * before each start. The configuration is current if the log's tail was read within the bound.
 * Otherwise it is current only if there are other live data centres and, within the bound, peers in
 * each have reported, and each of these peers could not reach the log and had no newer
 * configuration. In that case no edit can have been accepted that this instance has not read.
 *
 * <p>Immutable and thread-safe.
 *
 * @param boundMillis the maximum age of the read and of the reports, in milliseconds, 1 to 60,000
 */
public record ConfigurationFreshness(long boundMillis) {

    private static final long MAX_BOUND_MILLIS = 60_000;

    /**
     * The last report of a peer.
     *
     * @param dataCentre where the peer is, not null
     * @param atMillis when the report was received, in milliseconds
     * @param logReachable whether the peer reaches the log
     * @param configOffset the log offset of the peer's configuration
     */
    public record PeerReport(
            DataCentreId dataCentre, long atMillis, boolean logReachable, long configOffset) {}

    /**
     * Creates a rule with a bound.
     *
     * @throws IllegalArgumentException if the bound is out of range
     */
    public ConfigurationFreshness {
        Checks.range("boundMillis", boundMillis, 1, MAX_BOUND_MILLIS);
    }

    /**
     * Returns whether the configuration is current enough to start tasks now.
     *
     * @param nowMillis the current time, in milliseconds
     * @param tailReadMillis when the log was last read to its tail, in milliseconds
     * @param ownOffset the log offset of this instance's configuration
     * @param peerReports the last report of each peer, not null
     * @param otherDataCentres the other live data centres, not null
     * @return true if the configuration is current
     */
    public boolean isFresh(
            long nowMillis,
            long tailReadMillis,
            long ownOffset,
            Collection<PeerReport> peerReports,
            Set<DataCentreId> otherDataCentres) {
        if (nowMillis - tailReadMillis <= boundMillis) {
            return true;
        }
        return !otherDataCentres.isEmpty()
                && otherDataCentres.stream()
                        .allMatch(
                                dataCentre ->
                                        isLogUnreachableFrom(
                                                dataCentre, nowMillis, ownOffset, peerReports));
    }

    private boolean isLogUnreachableFrom(
            DataCentreId dataCentre,
            long nowMillis,
            long ownOffset,
            Collection<PeerReport> peerReports) {
        List<PeerReport> recent =
                peerReports.stream()
                        .filter(report -> report.dataCentre().equals(dataCentre))
                        .filter(report -> nowMillis - report.atMillis() <= boundMillis)
                        .toList();
        return !recent.isEmpty()
                && recent.stream()
                        .noneMatch(
                                report ->
                                        report.logReachable() || report.configOffset() > ownOffset);
    }
}
