package io.cardamomshelf.entry;

import java.util.concurrent.TimeUnit;

/**
 * The monotonic clock and the wall clock of the process.
 *
 * <p>Stateless and thread-safe.
 */
final class Clock {

    private Clock() {}

    /** Returns monotonic time in milliseconds, for timeouts and leases. */
    static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Returns wall time in milliseconds since 1970, for events only. */
    static long wallMillis() {
        return System.currentTimeMillis();
    }
}
