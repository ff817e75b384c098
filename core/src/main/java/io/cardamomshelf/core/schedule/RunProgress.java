package io.cardamomshelf.core.schedule;

import java.util.OptionalDouble;

/** The recent progress of a run in percent, as listed by its worker, and its speed. */
final class RunProgress {

    /** The shortest time over which a speed is computed, in milliseconds. */
    private static final long MIN_SPAN_MILLIS = 800;

    /**
     * The age in milliseconds above which the base sample is replaced by the latest one, and above
     * which the latest sample is too old for computing a speed.
     */
    private static final long MAX_SPAN_MILLIS = 1_500;

    /**
     * The progress over which an average speed is measured, in percent. As progress is listed in
     * whole percent, the error of the speed is 5% at most.
     */
    private static final int MIN_MEASURED_PERCENT = 20;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long baseMillis = NEVER;
    private int basePercent;
    private long latestMillis = NEVER;
    private int latestPercent;
    private long lastAdvanceMillis = NEVER;
    private long workingSinceMillis = NEVER;
    private int workingSincePercent;
    private boolean averageTaken;

    /**
     * Adds a listed percentage. One that is lower than before comes from an outdated list and is
     * ignored.
     */
    void addSample(int percent, long nowMillis) {
        if (latestMillis != NEVER && percent < latestPercent) {
            return;
        }
        if (latestMillis == NEVER || percent > latestPercent) {
            lastAdvanceMillis = nowMillis;
        }
        if (baseMillis == NEVER) {
            baseMillis = nowMillis;
            basePercent = percent;
        } else if (nowMillis - baseMillis > MAX_SPAN_MILLIS && latestMillis > baseMillis) {
            baseMillis = latestMillis;
            basePercent = latestPercent;
        }
        if (workingSinceMillis == NEVER && percent > 0) {
            workingSinceMillis = nowMillis;
            workingSincePercent = percent;
        }
        latestMillis = nowMillis;
        latestPercent = percent;
    }

    /** Returns the average speed in percent per second, once per run, if it is known. */
    OptionalDouble takeAverageSpeed() {
        double speed = averageTaken ? -1 : averagePercentPerSecond();
        if (speed < 0) {
            return OptionalDouble.empty();
        }
        averageTaken = true;
        return OptionalDouble.of(speed);
    }

    /**
     * The average speed in percent per second, negative until it covers enough progress and time.
     * The time before the first progress, such as that of preparations, is left out.
     */
    double averagePercentPerSecond() {
        int percent = latestPercent - workingSincePercent;
        long spanMillis = latestMillis - workingSinceMillis;
        if (workingSinceMillis == NEVER
                || percent < MIN_MEASURED_PERCENT
                || spanMillis < MIN_SPAN_MILLIS) {
            return -1;
        }
        return 1_000.0 * percent / spanMillis;
    }

    /** Excludes the run from comparisons, as its worker was much slower than usual. */
    void discardAverage() {
        averageTaken = true;
    }

    int percent() {
        return latestPercent;
    }

    /** When the progress was last listed, on the monotonic clock. */
    long latestMillis() {
        return latestMillis;
    }

    /** Whether recent lists showed no progress for at least the given time. */
    boolean hasStalled(long nowMillis, long stallMillis) {
        return lastAdvanceMillis != NEVER
                && latestMillis - lastAdvanceMillis >= stallMillis
                && nowMillis - latestMillis < stallMillis;
    }

    /** The recent speed in percent per second, negative if it isn't known. */
    double percentPerSecond(long nowMillis) {
        long spanMillis = latestMillis - baseMillis;
        if (baseMillis == NEVER
                || spanMillis < MIN_SPAN_MILLIS
                || nowMillis - latestMillis > MAX_SPAN_MILLIS) {
            return -1;
        }
        return 1_000.0 * (latestPercent - basePercent) / spanMillis;
    }
}
