package io.cardamomshelf.entry.settings;

import io.cardamomshelf.core.base.Checks;

/**
 * Bounds on what callers may do; each key may be missing and has a default.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxBodyBytes the longest body, in bytes, 1,024 to 16,777,216
 * @param maxHeaderBytes the longest headers, in bytes, 1,024 to 65,536
 * @param defaultDeadlineMillis the deadline of a request that names none, in milliseconds, 1 to
 *     600,000
 * @param maxDeadlineMillis the longest deadline, in milliseconds, 1 to 600,000
 * @param idleSeconds how long a silent connection is kept, in seconds, 1 to 3,600
 * @param receiveSeconds how long a sender may take over the headers of a request, and over its
 *     body, in seconds, 1 to 600
 * @param upstreamConnections the most connections to one upstream, 1 to 1,000
 * @param retryPercent further attempts per hundred requests, 0 to 100
 * @param eventsKept the most events kept for the time line, 100 to 1,000,000
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
        maxBodyBytes = (int) checked("maxBodyBytes", maxBodyBytes, 262_144, 1_024, 16_777_216);
        maxHeaderBytes = (int) checked("maxHeaderBytes", maxHeaderBytes, 16_384, 1_024, 65_536);
        defaultDeadlineMillis =
                checked(
                        "defaultDeadlineMillis",
                        defaultDeadlineMillis,
                        10_000,
                        1,
                        MAX_DEADLINE_MILLIS);
        maxDeadlineMillis =
                checked("maxDeadlineMillis", maxDeadlineMillis, 60_000, 1, MAX_DEADLINE_MILLIS);
        idleSeconds = (int) checked("idleSeconds", idleSeconds, 75, 1, 3_600);
        receiveSeconds = (int) checked("receiveSeconds", receiveSeconds, 30, 1, 600);
        upstreamConnections =
                (int) checked("upstreamConnections", upstreamConnections, 8, 1, 1_000);
        retryPercent = (int) checked("retryPercent", retryPercent, 10, 0, 100);
        eventsKept = (int) checked("eventsKept", eventsKept, 10_000, 100, 1_000_000);
    }

    private static long checked(String key, Number value, long otherwise, long min, long max) {
        return value == null ? otherwise : Checks.range(key, value.longValue(), min, max);
    }
}
