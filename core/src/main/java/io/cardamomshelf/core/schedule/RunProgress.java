package io.cardamomshelf.core.schedule;

/** How a run's share of done work has moved in the last seconds, as its worker listed it. */
final class RunProgress {

    /** The shortest span over which a speed is taken, in milliseconds. */
    private static final long MIN_SPAN_MILLIS = 800;

    /** The span after which the older sample is replaced, in milliseconds. */
    private static final long MAX_SPAN_MILLIS = 1_500;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long baseMillis = NEVER;
    private int basePercent;
    private long latestMillis = NEVER;
    private int latestPercent;
    private long lastAdvanceMillis = NEVER;

    /** Takes a list's figure; lists that show less than an earlier one have been overtaken. */
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

    /** Whether lists went on coming and showed no progress for a time. */
    boolean hasStalled(long nowMillis, long stallMillis) {
        return lastAdvanceMillis != NEVER
                && latestMillis - lastAdvanceMillis >= stallMillis
                && nowMillis - latestMillis < stallMillis;
    }

    /** Percent per second of late, negative if it isn't known. */
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
