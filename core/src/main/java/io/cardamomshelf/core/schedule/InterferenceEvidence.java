package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Comparisons of the speed of one kind of tasks with and without another kind on the same worker,
 * and whether they show interference.
 */
final class InterferenceEvidence {

    /** How long a comparison counts, in milliseconds. Load and images change within minutes. */
    static final long RETENTION_MILLIS = 60_000;

    /** The fewest comparisons, and workers that they come from, for interference to be assumed. */
    static final int MIN_SAMPLES = 6;

    static final int MIN_WORKERS = 4;

    /** The newest comparisons that are kept; more would outlast a change of the load. */
    private static final int MAX_SAMPLES = 32;

    /** The least slowdown that counts, as a factor: 15%; less isn't worth a worse packing. */
    private static final double MIN_SLOWDOWN = 1.15;

    /** Interference is no longer assumed below this slowdown, as a factor. */
    private static final double END_SLOWDOWN = 1.07;

    /**
     * The least distance of the mean from 0, in standard errors. The work of tasks of a step
     * differs by up to 30%, and many pairs are tested at a time.
     */
    private static final double MIN_STANDARD_ERRORS = 4;

    /**
     * The least standard deviation that is assumed of comparisons. That of a few may be much lower
     * by chance; tasks whose work differs by up to 30% give 0.25.
     */
    private static final double MIN_DEVIATION = 0.2;

    /** Larger slowdowns count as this factor, as a single stall would dominate the mean. */
    private static final double MAX_SLOWDOWN = 3;

    private record Sample(long takenMillis, WorkerId worker, double logSlowdown) {}

    private final Deque<Sample> samples = new ArrayDeque<>();
    private boolean interfering;

    /** Adds the logarithm of a factor by which a task was slower, negative if it was faster. */
    void add(WorkerId worker, double logSlowdown, long nowMillis) {
        double limit = Math.log(MAX_SLOWDOWN);
        samples.addLast(
                new Sample(nowMillis, worker, Math.max(-limit, Math.min(limit, logSlowdown))));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** Drops what is too old and decides anew; returns whether interference begins. */
    boolean update(long nowMillis) {
        samples.removeIf(sample -> nowMillis - sample.takenMillis() > RETENTION_MILLIS);
        boolean before = interfering;
        if (samples.isEmpty() || mean() < Math.log(END_SLOWDOWN)) {
            interfering = false;
        } else if (!interfering) {
            interfering = isSignificant();
        }
        return interfering && !before;
    }

    boolean isEmpty() {
        return samples.isEmpty();
    }

    boolean isInterfering() {
        return interfering;
    }

    /** The mean additional run time, as a share of the run time without interference. */
    double extraTimeShare() {
        return Math.expm1(mean());
    }

    int sampleCount() {
        return samples.size();
    }

    int workerCount() {
        return (int) samples.stream().map(Sample::worker).distinct().count();
    }

    long ageMillis(long nowMillis) {
        return samples.isEmpty() ? 0 : nowMillis - samples.getFirst().takenMillis();
    }

    private boolean isSignificant() {
        return samples.size() >= MIN_SAMPLES
                && mean() >= Math.log(MIN_SLOWDOWN)
                && mean() >= MIN_STANDARD_ERRORS * standardError()
                && workerCount() >= MIN_WORKERS;
    }

    private double mean() {
        return samples.stream().mapToDouble(Sample::logSlowdown).average().orElse(0);
    }

    /** The standard error of the mean; errors of comparisons on one worker may be equal. */
    private double standardError() {
        double mean = mean();
        Map<WorkerId, Double> sums = new HashMap<>();
        samples.forEach(
                sample -> sums.merge(sample.worker(), sample.logSlowdown() - mean, Double::sum));
        double squares = sums.values().stream().mapToDouble(sum -> sum * sum).sum();
        return Math.max(
                Math.sqrt(squares) / samples.size(), MIN_DEVIATION / Math.sqrt(samples.size()));
    }
}
