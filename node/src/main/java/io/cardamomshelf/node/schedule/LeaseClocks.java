package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.schedule.LeaderLease;
import io.cardamomshelf.core.schedule.LeaseClock;

/**
 * Creates the lease clocks of the workers of one scheduler's term. They allow for the leases that
 * earlier schedulers granted, and for their calls that are carried out late.
 *
 * <p>Immutable and thread-safe.
 */
final class LeaseClocks {

    /** The epoch of the first scheduler of all. */
    private static final long FIRST_EPOCH = 1;

    private final long inheritedUntilMillis;
    private final long lastInheritedCallMillis;
    private final long maxLeaseMillis;

    private LeaseClocks(
            long inheritedUntilMillis, long lastInheritedCallMillis, long maxLeaseMillis) {
        this.inheritedUntilMillis = inheritedUntilMillis;
        this.lastInheritedCallMillis = lastInheritedCallMillis;
        this.maxLeaseMillis = maxLeaseMillis;
    }

    /** Creates the factory for a term that begins at the given time on the monotonic clock. */
    static LeaseClocks of(
            long epoch, LeaderLease leaderLease, SchedulerSettings settings, long beginMillis) {
        return new LeaseClocks(
                beginMillis + LeaseClock.worstCaseMillis(settings.leaseMillis()),
                epoch > FIRST_EPOCH
                        ? leaderLease.lastPredecessorCallMillis(beginMillis)
                        : Long.MIN_VALUE,
                settings.maxLeaseMillis());
    }

    /**
     * Returns the clock of a worker that may have runs of an earlier scheduler, and whose
     * incarnation had started by the given time.
     */
    LeaseClock ofInheritedWorker(long startedMillis) {
        return create(startedMillis, inheritedUntilMillis);
    }

    /** Returns the clock of a worker that was registered during the term. */
    LeaseClock ofNewWorker(long startedMillis) {
        return create(startedMillis, Long.MIN_VALUE);
    }

    private LeaseClock create(long startedMillis, long leasesUntilMillis) {
        return new LeaseClock(
                startedMillis, leasesUntilMillis, lastInheritedCallMillis, maxLeaseMillis);
    }
}
