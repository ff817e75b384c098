package io.cardamomshelf.node.ingress;

import io.cardamomshelf.node.settings.NodeSettings;
import java.util.function.LongSupplier;

/**
 * Decides what may be answered from records that were proven current some time ago.
 *
 * <p>Use: {@code freshness.isConfigurationUsable()} before a call is let in.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class Freshness {

    /**
     * A key must not work after its bound; a call may have been sent a little before it is read.
     */
    private static final double CONFIGURATION_SHARE = 0.8;

    /** A job must be known after its bound, so "unknown" needs a younger proof. */
    private static final double JOBS_SHARE = 0.7;

    /**
     * Reads that reach the end come about once a second, so without one for this long, in
     * milliseconds, the path to the store is broken, and callers should go to other machines.
     */
    private static final long BROKEN_MILLIS = 2_000;

    /** Longer than any process lives, in milliseconds. */
    private static final long LONGEST_MILLIS = 1L << 50;

    private final NodeSettings.Bounds bounds;
    private final LongSupplier configurationAgeMillis;
    private final LongSupplier jobsAgeMillis;

    Freshness(
            NodeSettings.Bounds bounds,
            LongSupplier configurationAgeMillis,
            LongSupplier jobsAgeMillis) {
        this.bounds = bounds;
        this.configurationAgeMillis = configurationAgeMillis;
        this.jobsAgeMillis = jobsAgeMillis;
    }

    boolean isConfigurationUsable() {
        return configurationAgeMillis.getAsLong() < CONFIGURATION_SHARE * bounds.revokeMillis();
    }

    /** Whether a job that isn't known here can't have been accepted before the bound. */
    boolean isAbsenceProven() {
        return jobsAgeMillis.getAsLong() < JOBS_SHARE * bounds.visibleMillis();
    }

    /** Whether an append is likely to be answered in time. */
    boolean isStoreReachable() {
        return jobsAgeMillis.getAsLong() < BROKEN_MILLIS;
    }

    boolean isReady() {
        return isStoreReachable() && isConfigurationUsable();
    }

    /** The age of the configuration's proof for a log line, -1 if there never was one. */
    long configurationAgeMillis() {
        return known(configurationAgeMillis.getAsLong());
    }

    /** The age of the jobs' proof for a log line, -1 if there never was one. */
    long jobsAgeMillis() {
        return known(jobsAgeMillis.getAsLong());
    }

    private static long known(long ageMillis) {
        return ageMillis > LONGEST_MILLIS ? -1 : ageMillis;
    }
}
