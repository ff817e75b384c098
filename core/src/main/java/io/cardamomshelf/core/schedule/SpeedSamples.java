package io.cardamomshelf.core.schedule;

/** Samples of the logarithm of a worker's relative speed, which lose weight with age. */
final class SpeedSamples {

    /**
     * After how long a sample counts half, in milliseconds. A worker has a comparable run every 6 s
     * or so where speeds matter, so that about 14 samples count. With 30 s, more urgent jobs were
     * late in {@code UnequalWorkersTest}.
     */
    private static final double HALF_LIFE_MILLIS = 60_000;

    private final long bornMillis;
    private double weight;
    private double squaredWeights;
    private double sum;
    private double sumOfSquares;
    private long decayedMillis;

    SpeedSamples(long bornMillis, long nowMillis) {
        this.bornMillis = bornMillis;
        this.decayedMillis = nowMillis;
    }

    long bornMillis() {
        return bornMillis;
    }

    void add(double sample) {
        weight++;
        squaredWeights++;
        sum += sample;
        sumOfSquares += sample * sample;
    }

    void decayTo(long nowMillis) {
        double factor = Math.pow(0.5, (nowMillis - decayedMillis) / HALF_LIFE_MILLIS);
        decayedMillis = nowMillis;
        weight *= factor;
        sum *= factor;
        sumOfSquares *= factor;
        squaredWeights *= factor * factor;
    }

    /** The weight of all samples, where a new sample has weight 1. */
    double weight() {
        return weight;
    }

    double sum() {
        return sum;
    }

    double mean() {
        return sum / weight;
    }

    /** The weighted sum of the squared deviations from the mean. */
    double squaredDeviations() {
        return Math.max(0, sumOfSquares - sum * sum / weight);
    }

    /** The number by which the squared deviations are divided for the variance of a sample. */
    double degreesOfFreedom() {
        return Math.max(0, weight - squaredWeights / weight);
    }
}
