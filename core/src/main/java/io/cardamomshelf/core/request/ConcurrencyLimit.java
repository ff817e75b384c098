package io.cardamomshelf.core.request;

import io.cardamomshelf.core.base.Checks;

/**
 * An adaptive limit on the requests in flight at one upstream, with additive increase and
 * multiplicative decrease.
 *
 * <p>Use: {@code if (limit.tryAcquire()) ...}, then exactly one {@code release(success)}.
 *
 * <p>Limits: the limit never falls below 1, so that an upstream that has recovered still gets
 * requests, and never rises above the maximum.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class ConcurrencyLimit {

    private static final double DECREASE_FACTOR = 0.7;
    private static final int MAX_IN_FLIGHT = 10_000;

    private final int maxInFlight;
    private double limit;
    private int inFlight;

    /**
     * Creates a limit that starts at its maximum.
     *
     * @param maxInFlight the maximum number of requests in flight, 1 to 10,000
     * @throws IllegalArgumentException if the maximum is out of range
     */
    public ConcurrencyLimit(int maxInFlight) {
        this.maxInFlight = (int) Checks.range("max", maxInFlight, 1, MAX_IN_FLIGHT);
        this.limit = maxInFlight;
    }

    /**
     * Acquires a slot for one request if the limit allows it.
     *
     * @return true if a slot was acquired
     */
    public boolean tryAcquire() {
        if (inFlight >= (int) limit) {
            return false;
        }
        inFlight++;
        return true;
    }

    /**
     * Releases a slot and adapts the limit.
     *
     * @param success false if the upstream was overloaded, late or failed
     */
    public void release(boolean success) {
        inFlight--;
        limit =
                success
                        ? Math.min(maxInFlight, limit + 1 / limit)
                        : Math.max(1, limit * DECREASE_FACTOR);
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the number, at least 0
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the current limit.
     *
     * @return the number of slots, 1 to the maximum
     */
    public int limit() {
        return (int) limit;
    }
}
