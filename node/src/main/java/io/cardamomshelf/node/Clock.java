package io.cardamomshelf.node;

import io.cardamomshelf.core.schedule.ClockReading;

/**
 * Tells the time, so that tests can set it.
 *
 * <p>Use: {@code Clock.system().now()}.
 */
@FunctionalInterface
public interface Clock {

    /**
     * Returns the time.
     *
     * @return the time on both clocks, never null
     */
    ClockReading now();

    /**
     * Returns the steady time.
     *
     * @return milliseconds from an arbitrary origin
     */
    default long monotonicMillis() {
        return now().monotonicMillis();
    }

    /**
     * Returns the system's clocks.
     *
     * @return the clock, never null
     */
    static Clock system() {
        return () -> new ClockReading(System.nanoTime() / 1_000_000, System.currentTimeMillis());
    }
}
