package io.cardamomshelf.core.schedule;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.function.BiConsumer;
import java.util.function.ToDoubleFunction;

/**
 * The speeds of the runs of one step, which are compared with each other.
 *
 * <p>Limits: keeps the latest runs only.
 */
final class StepSpeeds {

    /**
     * The average speed of one run.
     *
     * @param logSpeed the natural logarithm of its speed in percent per second
     */
    private record Measurement(WorkerState worker, double logSpeed, long millis) {}

    /** The fewest runs that are compared. */
    private static final int MIN_RUNS = 4;

    /** The most runs that are kept; bounds memory and computing time for wide steps. */
    private static final int MAX_RUNS = 64;

    /**
     * How long a run waits for others to be compared with, in milliseconds. Runs on fast workers
     * are measured first, and comparing them only with each other would hide that they are fast.
     */
    private static final long SETTLE_MILLIS = 2_000;

    private final Deque<Measurement> latest = new ArrayDeque<>();
    private final Deque<Measurement> pending = new ArrayDeque<>();
    private long lastMillis;

    void add(WorkerState worker, double percentPerSecond, long nowMillis) {
        Measurement measurement = new Measurement(worker, Math.log(percentPerSecond), nowMillis);
        lastMillis = nowMillis;
        latest.addLast(measurement);
        pending.addLast(measurement);
        if (latest.size() > MAX_RUNS) {
            latest.removeFirst();
        }
    }

    long lastMillis() {
        return lastMillis;
    }

    /**
     * Compares the runs that are due with the median of the step.
     *
     * @param knownLogSpeed the known speed of a worker, as a logarithm, which is factored out of
     *     the median
     * @param sink accepts a worker and the logarithm of its speed relative to the mean of the fleet
     */
    void compareDue(
            long nowMillis,
            ToDoubleFunction<WorkerState> knownLogSpeed,
            BiConsumer<WorkerState, Double> sink) {
        if (latest.size() < MIN_RUNS || pending.isEmpty()) {
            return;
        }
        if (pending.peekFirst().millis() > nowMillis - SETTLE_MILLIS) {
            return;
        }
        double median = median(knownLogSpeed);
        while (!pending.isEmpty() && pending.peekFirst().millis() <= nowMillis - SETTLE_MILLIS) {
            Measurement due = pending.removeFirst();
            sink.accept(due.worker(), due.logSpeed() - median);
        }
    }

    private double median(ToDoubleFunction<WorkerState> knownLogSpeed) {
        double[] speeds = new double[latest.size()];
        int i = 0;
        for (Measurement measurement : latest) {
            speeds[i++] =
                    measurement.logSpeed() - knownLogSpeed.applyAsDouble(measurement.worker());
        }
        Arrays.sort(speeds);
        int middle = speeds.length / 2;
        return speeds.length % 2 == 1 ? speeds[middle] : (speeds[middle - 1] + speeds[middle]) / 2;
    }
}
