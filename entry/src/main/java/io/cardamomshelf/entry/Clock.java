package io.cardamomshelf.entry;

import java.util.concurrent.TimeUnit;

/**
 * The process's two clocks.
 *
 * <p>Stateless and thread-safe.
 */
final class Clock {

    private Clock() {}

    /** Returns monotonic time in milliseconds, for bounds and leases. */
    static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Returns wall time in milliseconds since 1970, for events only. */
    static long wallMillis() {
        return System.currentTimeMillis();
    }
}
