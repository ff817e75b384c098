package io.cardamomshelf.core.schedule;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The speed of one run, or of one gang, during each period in which the same kinds of tasks ran
 * beside it.
 *
 * <p>The speed of a serving task is the inverse of its tail latency, as it has no progress.
 */
final class SpeedTrace {

    /**
     * The speed beside some kinds of tasks.
     *
     * @param neighbours the kinds
     * @param logSpeed the logarithm of the speed, comparable within a step only
     * @param endMillis when it was measured, on the monotonic clock
     */
    record Segment(Set<String> neighbours, double logSpeed, long endMillis) {

        /** The kind that only one of two segments has beside it, if that is their difference. */
        Optional<String> differenceTo(Segment other) {
            Set<String> kinds = new HashSet<>(neighbours);
            kinds.addAll(other.neighbours);
            kinds.removeIf(kind -> neighbours.contains(kind) && other.neighbours.contains(kind));
            return kinds.size() == 1 ? kinds.stream().findFirst() : Optional.empty();
        }
    }

    /** The shortest time over which a speed is measured: two intervals between reports. */
    private static final long MIN_SEGMENT_MILLIS = 1_500;

    /** The least progress over which a speed is measured; it is listed in whole percent. */
    private static final int MIN_SEGMENT_PERCENT = 8;

    /** From this percentage on, progress isn't used: a task that is ending may stay there. */
    private static final int MAX_PERCENT = 99;

    /** The fewest latencies over which a speed is measured. */
    private static final int MIN_LATENCIES = 3;

    /** The time that a latency is measured over, in milliseconds. */
    private static final long LATENCY_PERIOD_MILLIS = 500;

    private static final long NEVER = Long.MIN_VALUE;

    private Set<String> neighbours = Set.of();
    private long changedMillis = NEVER;
    private long lastSampleMillis = NEVER;
    private long startMillis = NEVER;
    private int startPercent;
    private int latencies;
    private double logLatencySum;
    private boolean measured;

    /** Records what runs beside it now; samples up to now don't count if that has changed. */
    void observeNeighbours(Set<String> current, long nowMillis) {
        if (changedMillis == NEVER || !neighbours.equals(current)) {
            neighbours = current;
            changedMillis = nowMillis;
            startMillis = NEVER;
            latencies = 0;
            logLatencySum = 0;
            measured = false;
        }
    }

    /** Adds a listed percentage; returns the current segment once its speed is first known. */
    Optional<Segment> addPercent(int percent, long sampleMillis) {
        if (!isNew(sampleMillis, 0) || percent <= 0 || percent >= MAX_PERCENT) {
            return Optional.empty();
        }
        if (startMillis == NEVER) {
            startMillis = sampleMillis;
            startPercent = percent;
            return Optional.empty();
        }
        int progress = percent - startPercent;
        long spanMillis = sampleMillis - startMillis;
        return spanMillis < MIN_SEGMENT_MILLIS || progress < MIN_SEGMENT_PERCENT
                ? Optional.empty()
                : measure(Math.log((double) progress / spanMillis), sampleMillis);
    }

    /** Adds a listed latency; returns the current segment once its speed is first known. */
    Optional<Segment> addLatency(OptionalLong latencyMillis, long sampleMillis) {
        if (!isNew(sampleMillis, LATENCY_PERIOD_MILLIS) || latencyMillis.isEmpty()) {
            return Optional.empty();
        }
        logLatencySum += Math.log(Math.max(1, latencyMillis.getAsLong()));
        latencies++;
        return latencies < MIN_LATENCIES
                ? Optional.empty()
                : measure(-logLatencySum / latencies, sampleMillis);
    }

    /** Whether a sample is a new one that was taken long enough after the last change. */
    private boolean isNew(long sampleMillis, long delayMillis) {
        if (measured
                || sampleMillis <= lastSampleMillis
                || sampleMillis <= changedMillis + delayMillis) {
            return false;
        }
        lastSampleMillis = sampleMillis;
        return true;
    }

    private Optional<Segment> measure(double logSpeed, long nowMillis) {
        measured = true;
        return Optional.of(new Segment(neighbours, logSpeed, nowMillis));
    }
}
