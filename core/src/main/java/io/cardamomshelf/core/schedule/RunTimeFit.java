package io.cardamomshelf.core.schedule;

/**
 * A line through the logarithms of callers' estimates and of the actual run times, whose samples
 * lose weight with age.
 *
 * <p>Where estimates say much about run times, the line follows them; where they say little, it
 * stays near the mean run time.
 */
final class RunTimeFit {

    /**
     * After how long a sample counts half, in milliseconds: a shift of the workload is forgotten
     * within tens of seconds, and a class of jobs that ends once a second is known well.
     */
    private static final double HALF_LIFE_MILLIS = 20_000;

    /** The weight of all samples from which the line counts; a new sample has weight 1. */
    private static final double MIN_WEIGHT = 6;

    /** The number of parameters of a line. */
    private static final int PARAMETERS = 2;

    /** Estimates whose mean squared error is smaller, 10% of the run time, aren't corrected. */
    private static final double MIN_SQUARED_ERROR = 0.01;

    /** The line counts if its squared error is below this share of that of the estimates. */
    private static final double MAX_ERROR_SHARE = 0.7;

    /** The largest logarithm of a correction, a factor of 8, beyond which samples mislead. */
    private static final double MAX_CORRECTION = Math.log(8);

    private double weight;
    private double estimates;
    private double actuals;
    private double squaredEstimates;
    private double products;
    private double squaredActuals;
    private double squaredErrors;
    private long decayedMillis = Long.MIN_VALUE;

    void add(double estimate, double actual, double sampleWeight, long nowMillis) {
        decayTo(nowMillis);
        weight += sampleWeight;
        estimates += sampleWeight * estimate;
        actuals += sampleWeight * actual;
        squaredEstimates += sampleWeight * estimate * estimate;
        products += sampleWeight * estimate * actual;
        squaredActuals += sampleWeight * actual * actual;
        squaredErrors += sampleWeight * (actual - estimate) * (actual - estimate);
    }

    void decayTo(long nowMillis) {
        if (decayedMillis != Long.MIN_VALUE) {
            double factor = Math.pow(0.5, (nowMillis - decayedMillis) / HALF_LIFE_MILLIS);
            weight *= factor;
            estimates *= factor;
            actuals *= factor;
            squaredEstimates *= factor;
            products *= factor;
            squaredActuals *= factor;
            squaredErrors *= factor;
        }
        decayedMillis = nowMillis;
    }

    /** Whether the line predicts run times clearly better than the estimates do. */
    boolean isBetterThanEstimates() {
        if (weight < MIN_WEIGHT) {
            return false;
        }
        double estimateError = squaredErrors / weight;
        double slope = slope();
        double remaining =
                actualVariance() - 2 * slope * covariance() + slope * slope * estimateVariance();
        double lineError = Math.max(0, remaining) * weight / (weight - PARAMETERS);
        return estimateError > MIN_SQUARED_ERROR && lineError < MAX_ERROR_SHARE * estimateError;
    }

    /** The expected logarithm of the run time for that of an estimate. */
    double expected(double estimate) {
        double expected = actuals / weight + slope() * (estimate - estimates / weight);
        double correction = expected - estimate;
        return estimate + Math.max(-MAX_CORRECTION, Math.min(MAX_CORRECTION, correction));
    }

    /** 0 if the estimates say nothing about the run times, 1 if these follow them. */
    private double slope() {
        double variance = estimateVariance();
        return variance <= MIN_SQUARED_ERROR / weight
                ? 1
                : Math.max(0, Math.min(1, covariance() / variance));
    }

    private double estimateVariance() {
        return Math.max(0, squaredEstimates / weight - square(estimates / weight));
    }

    private double actualVariance() {
        return Math.max(0, squaredActuals / weight - square(actuals / weight));
    }

    private double covariance() {
        return products / weight - estimates / weight * actuals / weight;
    }

    private static double square(double value) {
        return value * value;
    }
}
