package io.cardamomshelf.core.schedule;

/** The recent progress of a run in percent, as listed by its worker, and its speed. */
final class RunProgress {

    /** The shortest time over which a speed is computed, in milliseconds. */
    private static final long MIN_SPAN_MILLIS = 800;

    /**
     * The age in milliseconds above which the base sample is replaced by the latest one, and above
     * which the latest sample is too old for computing a speed.
     */
    private static final long MAX_SPAN_MILLIS = 1_500;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long baseMillis = NEVER;
    private int basePercent;
    private long latestMillis = NEVER;
    private int latestPercent;
    private long lastAdvanceMillis = NEVER;

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
        latestMillis = nowMillis;
        latestPercent = percent;
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
