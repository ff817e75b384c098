package io.cardamomshelf.node;

import io.cardamomshelf.core.schedule.ClockReading;

/**
 * The source of the time; tests replace it by a simulated clock.
 *
 * <p>Use: {@code Clock.system().now()}.
 */
@FunctionalInterface
public interface Clock {

    /**
     * Returns the current time.
     *
     * @return the reading of the monotonic and the wall clock, never null
     */
    ClockReading now();

    /**
     * Returns the current monotonic time, for deadlines and durations.
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
