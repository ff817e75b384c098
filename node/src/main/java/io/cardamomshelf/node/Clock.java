package io.cardamomshelf.node;

import io.cardamomshelf.core.schedule.Moment;

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
    Moment now();

    /**
     * Returns the steady time.
     *
     * @return milliseconds from an arbitrary origin
     */
    default long steadyMillis() {
        return now().steadyMillis();
    }

    /**
     * Returns the system's clocks.
     *
     * @return the clock, never null
     */
    static Clock system() {
        return () -> new Moment(System.nanoTime() / 1_000_000, System.currentTimeMillis());
    }
}
