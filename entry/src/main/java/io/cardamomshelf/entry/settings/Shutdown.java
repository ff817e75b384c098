package io.cardamomshelf.entry.settings;

import io.cardamomshelf.core.base.Checks;

/**
 * The times of a graceful shutdown; each key is optional and has a default.
 *
 * <p>Immutable and thread-safe.
 *
 * @param announceMillis how long the instance serves after announcing the shutdown, in
 *     milliseconds, 0 to 60,000
 * @param drainMillis how long the instance waits for requests and gangs in flight, in milliseconds,
 *     0 to 600,000
 */
public record Shutdown(Long announceMillis, Long drainMillis) {

    /** The defaults of both keys. */
    public static final Shutdown DEFAULT = new Shutdown(null, null);

    private static final long DEFAULT_ANNOUNCE_MILLIS = 1_000;
    private static final long MAX_ANNOUNCE_MILLIS = 60_000;
    private static final long DEFAULT_DRAIN_MILLIS = 30_000;
    private static final long MAX_DRAIN_MILLIS = 600_000;

    /**
     * Creates settings.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public Shutdown {
        announceMillis = announceMillis == null ? DEFAULT_ANNOUNCE_MILLIS : announceMillis;
        Checks.range("announceMillis", announceMillis, 0, MAX_ANNOUNCE_MILLIS);
        drainMillis = drainMillis == null ? DEFAULT_DRAIN_MILLIS : drainMillis;
        Checks.range("drainMillis", drainMillis, 0, MAX_DRAIN_MILLIS);
    }
}
