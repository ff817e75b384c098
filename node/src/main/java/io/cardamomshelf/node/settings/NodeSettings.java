package io.cardamomshelf.node.settings;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;

/**
 * The settings of one instance of the service.
 *
 * <p>Use: the platform's adapter reads them from its own source and passes them to the node.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the instance's name, not null
 * @param dataCentre the data centre that the instance is in, not null
 * @param callers the address for callers, not null
 * @param readiness the address for the platform's readiness check, not null
 * @param metrics the address for the export of metrics, not null
 * @param cores the processor time that the process may use, in cores, more than 0
 * @param bounds the time bounds of the service, not null
 * @param callerLimits the limits of what clients may make the instance hold, not null
 */
public record NodeSettings(
        String name,
        DataCentreId dataCentre,
        Endpoint callers,
        Endpoint readiness,
        Endpoint metrics,
        double cores,
        Bounds bounds,
        CallerLimits callerLimits) {

    /**
     * The bounds that the platform sets and the service must keep.
     *
     * @param revokeMillis the time after which a revoked key must not work, in milliseconds
     * @param visibleMillis the time after which an accepted job must be known to every instance, in
     *     milliseconds
     * @param graceMillis the time between SIGTERM and SIGKILL, in milliseconds
     * @param maxLeaseMillis the longest lease that workers grant, in milliseconds
     * @param stateKeptMillis how long the state of an ended job must be available, in milliseconds
     * @param quotaOverage the fraction of its cap by which an organisation may exceed it, 0 or more
     */
    public record Bounds(
            long revokeMillis,
            long visibleMillis,
            long graceMillis,
            long maxLeaseMillis,
            long stateKeptMillis,
            double quotaOverage) {

        /**
         * Creates bounds.
         *
         * @throws IllegalArgumentException if a time isn't positive or the overage is negative
         */
        public Bounds {
            Checks.range("revokeMillis", revokeMillis, 1, Long.MAX_VALUE);
            Checks.range("visibleMillis", visibleMillis, 1, Long.MAX_VALUE);
            Checks.range("graceMillis", graceMillis, 1, Long.MAX_VALUE);
            Checks.range("maxLeaseMillis", maxLeaseMillis, 1, Long.MAX_VALUE);
            Checks.range("stateKeptMillis", stateKeptMillis, 1, Long.MAX_VALUE);
            if (!(quotaOverage >= 0 && quotaOverage < Double.POSITIVE_INFINITY)) {
                throw new IllegalArgumentException(
                        "quotaOverage: " + quotaOverage + " is not 0 or more");
            }
        }
    }

    /**
     * Creates settings.
     *
     * @throws IllegalArgumentException if a part is missing or out of range
     */
    public NodeSettings {
        Checks.notNull("name", name);
        Checks.notNull("dataCentre", dataCentre);
        Checks.notNull("callers", callers);
        Checks.notNull("readiness", readiness);
        Checks.notNull("metrics", metrics);
        Checks.notNull("bounds", bounds);
        Checks.notNull("callerLimits", callerLimits);
        if (!(cores > 0)) {
            throw new IllegalArgumentException("cores: " + cores + " is not a positive number");
        }
    }
}
