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

    /** Readiness ends well before answers do, so that callers come to other machines. */
    private static final double READY_SHARE = 0.6;

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

    boolean isReady() {
        return configurationAgeMillis.getAsLong() < READY_SHARE * bounds.revokeMillis()
                && jobsAgeMillis.getAsLong() < READY_SHARE * bounds.revokeMillis();
    }

    long configurationAgeMillis() {
        return configurationAgeMillis.getAsLong();
    }
}
