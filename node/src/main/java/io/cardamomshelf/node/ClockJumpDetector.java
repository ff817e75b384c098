package io.cardamomshelf.node;

import io.cardamomshelf.core.schedule.ClockReading;

/**
 * Detects that the wall clock has advanced by more than the monotonic clock: the process was
 * suspended, or the wall clock was set forward.
 *
 * <p>Use: {@code jumpMillis(clock.now())} several times a second.
 *
 * <p>Limits: a wall clock that is set back makes no proof look younger, so it isn't reported. Not
 * thread-safe: belongs to the instance's event loop.
 */
final class ClockJumpDetector {

    /** The smallest difference that counts, in milliseconds; clocks are adjusted by less. */
    private static final long MIN_JUMP_MILLIS = 500;

    private ClockReading last;

    ClockJumpDetector(ClockReading start) {
        this.last = start;
    }

    /** Returns by how much the wall clock has jumped since the last call, 0 if it hasn't. */
    long jumpMillis(ClockReading now) {
        long monotonicMillis = now.monotonicMillis() - last.monotonicMillis();
        long jumpMillis = now.maxMillisSince(last) - monotonicMillis;
        last = now;
        return jumpMillis >= MIN_JUMP_MILLIS ? jumpMillis : 0;
    }
}
