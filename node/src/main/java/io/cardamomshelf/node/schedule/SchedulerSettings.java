package io.cardamomshelf.node.schedule;

import io.cardamomshelf.node.settings.NodeSettings;

/**
 * The scheduler's times, taken from the machine's settings.
 *
 * <p>Immutable and thread-safe.
 *
 * @param leaseMillis how long workers go on without a renewal, in milliseconds
 * @param stateKeptMillis how long a job that is over is known, in milliseconds
 */
record SchedulerSettings(long leaseMillis, long stateKeptMillis) {

    /** Long enough to outlast a change of scheduler, short enough to free a lost worker's tasks. */
    private static final double LEASE_SHARE = 0.55;

    /** Jobs that are over stay a little longer than promised, in milliseconds. */
    private static final long KEPT_MARGIN_MILLIS = 30_000;

    static SchedulerSettings of(NodeSettings.Bounds bounds) {
        return new SchedulerSettings(
                (long) (LEASE_SHARE * bounds.maxLeaseMillis()),
                bounds.stateKeptMillis() + KEPT_MARGIN_MILLIS);
    }
}
