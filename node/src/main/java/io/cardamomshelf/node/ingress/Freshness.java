package io.cardamomshelf.node.ingress;

import io.cardamomshelf.node.settings.NodeSettings;
import java.util.function.LongSupplier;

/**
 * Decides whether this instance's view of the store is recent enough to answer calls.
 *
 * <p>Use: {@link CallersServer} checks {@code isConfigurationUsable()} before it authenticates a
 * call, and {@link JobService} checks {@code isAbsenceProven()} before it reports a job as absent.
 * The age of a view is the time since a read last reached the end of its stream.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class Freshness {

    /**
     * The fraction of the revocation bound up to which the configuration is used. A revoked key
     * must not work after the bound, also for a call that takes a while to arrive.
     */
    private static final double CONFIGURATION_BOUND_FRACTION = 0.8;

    /**
     * The fraction of the visibility bound up to which an unknown job is reported as absent. A job
     * must be known everywhere within the bound, so absence needs a younger view.
     */
    private static final double JOBS_BOUND_FRACTION = 0.7;

    /**
     * The age of the jobs' view from which the store counts as unreachable, in milliseconds. Reads
     * reach the end of the stream twice in that time, so by then the path to the store is broken,
     * and callers should be sent to other instances.
     */
    private static final long UNREACHABLE_MILLIS = 2_000;

    /**
     * The age above which no read has reached the end of the stream yet, in milliseconds. It
     * exceeds the lifetime of any process.
     */
    private static final long MAX_KNOWN_AGE_MILLIS = 1L << 50;

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
        return configurationAgeMillis.getAsLong()
                < CONFIGURATION_BOUND_FRACTION * bounds.revokeMillis();
    }

    /**
     * Returns whether a job that isn't known here was certainly not accepted longer ago than the
     * visibility bound.
     */
    boolean isAbsenceProven() {
        return jobsAgeMillis.getAsLong() < JOBS_BOUND_FRACTION * bounds.visibleMillis();
    }

    /** Returns whether the store is likely to answer an append in time. */
    boolean isStoreReachable() {
        return jobsAgeMillis.getAsLong() < UNREACHABLE_MILLIS;
    }

    boolean isReady() {
        return isStoreReachable() && isConfigurationUsable();
    }

    /** Returns the age of the configuration for a log line, -1 if it has never been current. */
    long configurationAgeMillis() {
        return ageForLog(configurationAgeMillis.getAsLong());
    }

    /** Returns the age of the jobs' view for a log line, -1 if it has never been current. */
    long jobsAgeMillis() {
        return ageForLog(jobsAgeMillis.getAsLong());
    }

    private static long ageForLog(long ageMillis) {
        return ageMillis > MAX_KNOWN_AGE_MILLIS ? -1 : ageMillis;
    }
}
