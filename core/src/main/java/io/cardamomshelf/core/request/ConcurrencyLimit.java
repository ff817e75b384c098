package io.cardamomshelf.core.request;

import io.cardamomshelf.core.base.Checks;

/**
 * An adaptive limit of one upstream's requests in flight: additive increase, multiplicative
 * decrease.
 *
 * <p>Use: {@code if (limit.tryAcquire()) ...}, then exactly one {@code release(success)}.
 *
 * <p>Limits: never below 1, so that a recovered upstream is found, and never above the maximum.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class ConcurrencyLimit {

    private static final double DECREASE = 0.7;
    private static final int MAX_IN_FLIGHT = 10_000;

    private final int max;
    private double limit;
    private int inFlight;

    /**
     * Creates a limit that starts at its maximum.
     *
     * @param max the most requests in flight, 1 to 10,000
     * @throws IllegalArgumentException if the maximum is out of range
     */
    public ConcurrencyLimit(int max) {
        this.max = (int) Checks.range("max", max, 1, MAX_IN_FLIGHT);
        this.limit = max;
    }

    /**
     * Takes a place if one is free.
     *
     * @return true if a place was taken
     */
    public boolean tryAcquire() {
        if (inFlight >= (int) limit) {
            return false;
        }
        inFlight++;
        return true;
    }

    /**
     * Gives a place back.
     *
     * @param success false if the upstream was overloaded, late or failed
     */
    public void release(boolean success) {
        inFlight--;
        limit = success ? Math.min(max, limit + 1 / limit) : Math.max(1, limit * DECREASE);
    }

    /**
     * Returns the requests in flight.
     *
     * @return the number, from 0
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the limit now.
     *
     * @return the number of places, 1 to the maximum
     */
    public int limit() {
        return (int) limit;
    }
}
