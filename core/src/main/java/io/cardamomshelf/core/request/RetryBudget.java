package io.cardamomshelf.core.request;

import io.cardamomshelf.core.base.Checks;

/**
 * A budget that limits retries to a percentage of the requests.
 *
 * <p>Use: the entry instance's attempt loop calls {@code budget.recordRequest()} for each request,
 * then {@code if (budget.tryRetry()) ...} before each retry. A small reserve allows retries on an
 * instance with few requests.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class RetryBudget {

    private static final int MAX_PERCENT = 100;
    private static final int MAX_RESERVE = 1_000;

    private final double tokensPerRequest;
    private final double maxTokens;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param percent the number of retries per hundred requests, 0 to 100
     * @param reserve the maximum number of retries that accumulate, 1 to 1,000
     * @throws IllegalArgumentException if a value is out of range
     */
    public RetryBudget(int percent, int reserve) {
        this.tokensPerRequest =
                Checks.range("percent", percent, 0, MAX_PERCENT) / (double) MAX_PERCENT;
        this.maxTokens = Checks.range("reserve", reserve, 1, MAX_RESERVE);
        this.tokens = reserve;
    }

    /** Adds the fraction of a retry that each request allows. */
    public void recordRequest() {
        tokens = Math.min(maxTokens, tokens + tokensPerRequest);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return true if the retry is allowed
     */
    public boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
