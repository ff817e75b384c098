package io.cardamomshelf.node.settings;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;

/**
 * The settings of one machine.
 *
 * <p>Use: read by the adapter of the platform that the process runs on.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the machine's name, not null
 * @param dataCentre where it stands, not null
 * @param callers where callers connect, not null
 * @param readiness where the platform asks whether it is ready, not null
 * @param metrics where metrics are read, not null
 * @param cores the processor time that the process may use, in cores, more than 0
 * @param bounds the promised times, not null
 */
public record NodeSettings(
        String name,
        DataCentreId dataCentre,
        Endpoint callers,
        Endpoint readiness,
        Endpoint metrics,
        double cores,
        Bounds bounds) {

    /**
     * The promised times that the service has to know.
     *
     * @param revokeMillis after this a key that was taken away must not work, in milliseconds
     * @param visibleMillis after this an accepted job must be known everywhere, in milliseconds
     * @param graceMillis the time between SIGTERM and SIGKILL, in milliseconds
     * @param maxLeaseMillis the longest lease that workers grant, in milliseconds
     * @param stateKeptMillis how long a job that is over must be known, in milliseconds
     */
    public record Bounds(
            long revokeMillis,
            long visibleMillis,
            long graceMillis,
            long maxLeaseMillis,
            long stateKeptMillis) {

        /**
         * Creates bounds.
         *
         * @throws IllegalArgumentException if a time isn't positive
         */
        public Bounds {
            Checks.range("revokeMillis", revokeMillis, 1, Long.MAX_VALUE);
            Checks.range("visibleMillis", visibleMillis, 1, Long.MAX_VALUE);
            Checks.range("graceMillis", graceMillis, 1, Long.MAX_VALUE);
            Checks.range("maxLeaseMillis", maxLeaseMillis, 1, Long.MAX_VALUE);
            Checks.range("stateKeptMillis", stateKeptMillis, 1, Long.MAX_VALUE);
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
        if (!(cores > 0)) {
            throw new IllegalArgumentException("cores: " + cores + " isn't positive");
        }
    }
}
