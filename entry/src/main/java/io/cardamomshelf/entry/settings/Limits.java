package io.cardamomshelf.entry.settings;

import io.cardamomshelf.core.base.Checks;

/**
 * Limits for callers and resources; each key is optional and has a default.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxBodyBytes the maximum length of a request body, in bytes, 1,024 to 16,777,216
 * @param maxHeaderBytes the maximum length of the headers, in bytes, 1,024 to 65,536
 * @param defaultDeadlineMillis the deadline of a request without one, in milliseconds, 1 to 600,000
 * @param maxDeadlineMillis the maximum deadline, in milliseconds, 1 to 600,000
 * @param idleSeconds how long an idle connection stays open, in seconds, 1 to 3,600
 * @param receiveSeconds how long receiving the headers of a request may take, and then its body, in
 *     seconds, 1 to 600
 * @param upstreamConnections the maximum number of connections to one upstream, 1 to 1,000
 * @param retryPercent retries per hundred requests, 0 to 100
 * @param eventsKept the maximum number of events stored for the time line, 100 to 1,000,000
 */
public record Limits(
        Integer maxBodyBytes,
        Integer maxHeaderBytes,
        Long defaultDeadlineMillis,
        Long maxDeadlineMillis,
        Integer idleSeconds,
        Integer receiveSeconds,
        Integer upstreamConnections,
        Integer retryPercent,
        Integer eventsKept) {

    /** The defaults of all keys. */
    public static final Limits DEFAULT =
            new Limits(null, null, null, null, null, null, null, null, null);

    private static final long MAX_DEADLINE_MILLIS = 600_000;

    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public Limits {
        maxBodyBytes =
                (int) checkedOrDefault("maxBodyBytes", maxBodyBytes, 262_144, 1_024, 16_777_216);
        maxHeaderBytes =
                (int) checkedOrDefault("maxHeaderBytes", maxHeaderBytes, 16_384, 1_024, 65_536);
        defaultDeadlineMillis =
                checkedOrDefault(
                        "defaultDeadlineMillis",
                        defaultDeadlineMillis,
                        10_000,
                        1,
                        MAX_DEADLINE_MILLIS);
        maxDeadlineMillis =
                checkedOrDefault(
                        "maxDeadlineMillis", maxDeadlineMillis, 60_000, 1, MAX_DEADLINE_MILLIS);
        idleSeconds = (int) checkedOrDefault("idleSeconds", idleSeconds, 75, 1, 3_600);
        receiveSeconds = (int) checkedOrDefault("receiveSeconds", receiveSeconds, 30, 1, 600);
        upstreamConnections =
                (int) checkedOrDefault("upstreamConnections", upstreamConnections, 8, 1, 1_000);
        retryPercent = (int) checkedOrDefault("retryPercent", retryPercent, 10, 0, 100);
        eventsKept = (int) checkedOrDefault("eventsKept", eventsKept, 10_000, 100, 1_000_000);
    }

    private static long checkedOrDefault(
            String key, Number value, long defaultValue, long min, long max) {
        return value == null ? defaultValue : Checks.range(key, value.longValue(), min, max);
    }
}
