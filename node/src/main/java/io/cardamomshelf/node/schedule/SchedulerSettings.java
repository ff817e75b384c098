package io.cardamomshelf.node.schedule;

import io.cardamomshelf.node.settings.NodeSettings;

/**
 * The scheduler's time limits, derived from the node's settings.
 *
 * <p>Immutable and thread-safe.
 *
 * @param leaseMillis how long runs continue without a renewal of their lease, in milliseconds
 * @param stateKeptMillis how long the records of an ended job are kept, in milliseconds
 */
record SchedulerSettings(long leaseMillis, long stateKeptMillis) {

    /**
     * The lease as a share of the allowed maximum: long enough for runs to survive a change of
     * scheduler, short enough to restart the tasks of a lost worker in time.
     */
    private static final double LEASE_SHARE = 0.55;

    /** Added to the configured retention, so that no record is dropped early, in milliseconds. */
    private static final long KEPT_MARGIN_MILLIS = 30_000;

    static SchedulerSettings of(NodeSettings.Bounds bounds) {
        return new SchedulerSettings(
                (long) (LEASE_SHARE * bounds.maxLeaseMillis()),
                bounds.stateKeptMillis() + KEPT_MARGIN_MILLIS);
    }
}
