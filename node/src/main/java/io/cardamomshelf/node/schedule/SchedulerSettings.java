package io.cardamomshelf.node.schedule;

import io.cardamomshelf.node.settings.NodeSettings;

/**
 * The scheduler's limits, derived from the node's settings.
 *
 * <p>Immutable and thread-safe.
 *
 * @param leaseMillis how long runs continue without a renewal of their lease, in milliseconds
 * @param maxLeaseMillis the longest lease that a worker grants, in milliseconds
 * @param stateKeptMillis how long the records of an ended job are kept, in milliseconds
 * @param quotaOverage the fraction of its cap by which an organisation may exceed it
 */
record SchedulerSettings(
        long leaseMillis, long maxLeaseMillis, long stateKeptMillis, double quotaOverage) {

    /**
     * The length of a lease, in milliseconds, unless the allowed maximum is shorter. Runs survive
     * the restart of all instances if the first of them renews a lease within this time, and the
     * tasks of a lost worker wait for it.
     */
    private static final long LEASE_MILLIS = 5_000;

    /** Added to the configured retention, so that no record is dropped early, in milliseconds. */
    private static final long KEPT_MARGIN_MILLIS = 30_000;

    static SchedulerSettings of(NodeSettings.Bounds bounds) {
        return new SchedulerSettings(
                Math.min(LEASE_MILLIS, bounds.maxLeaseMillis()),
                bounds.maxLeaseMillis(),
                bounds.stateKeptMillis() + KEPT_MARGIN_MILLIS,
                bounds.quotaOverage());
    }
}
