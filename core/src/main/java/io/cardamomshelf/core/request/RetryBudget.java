package io.cardamomshelf.core.request;

import io.cardamomshelf.core.base.Checks;

/**
 * A budget that keeps further attempts to a share of the first ones.
 *
 * <p>Use: {@code budget.plusRequest()} for each request, then {@code if (budget.tryRetry()) ...}
 * before each further attempt. A small reserve lets a quiet instance retry at all.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class RetryBudget {

    private static final int MAX_PERCENT = 100;
    private static final int MAX_RESERVE = 1_000;

    private final double perRequest;
    private final double reserve;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param percent further attempts per hundred requests, 0 to 100
     * @param reserve the most attempts saved up, 1 to 1,000
     * @throws IllegalArgumentException if a value is out of range
     */
    public RetryBudget(int percent, int reserve) {
        this.perRequest = Checks.range("percent", percent, 0, MAX_PERCENT) / (double) MAX_PERCENT;
        this.reserve = Checks.range("reserve", reserve, 1, MAX_RESERVE);
        this.tokens = reserve;
    }

    /** Counts a first attempt. */
    public void recordRequest() {
        tokens = Math.min(reserve, tokens + perRequest);
    }

    /**
     * Takes one further attempt out of the budget.
     *
     * @return true if it may be made
     */
    public boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
