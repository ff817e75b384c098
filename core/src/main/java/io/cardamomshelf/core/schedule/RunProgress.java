package io.cardamomshelf.core.schedule;

/** How a run's share of done work has moved in the last seconds, as its worker listed it. */
final class RunProgress {

    /** The shortest span over which a speed is taken, in milliseconds. */
    private static final long MIN_SPAN_MILLIS = 800;

    /** The span after which the older sample is replaced, in milliseconds. */
    private static final long SPAN_MILLIS = 1_500;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long baseMillis = NEVER;
    private int basePercent;
    private long lastMillis = NEVER;
    private int lastPercent;
    private long movedMillis = NEVER;

    /** Takes a list's figure; lists that show less than an earlier one have been overtaken. */
    void put(int percent, long nowMillis) {
        if (lastMillis != NEVER && percent < lastPercent) {
            return;
        }
        if (lastMillis == NEVER || percent > lastPercent) {
            movedMillis = nowMillis;
        }
        if (baseMillis == NEVER) {
            baseMillis = nowMillis;
            basePercent = percent;
        } else if (nowMillis - baseMillis > SPAN_MILLIS && lastMillis > baseMillis) {
            baseMillis = lastMillis;
            basePercent = lastPercent;
        }
        lastMillis = nowMillis;
        lastPercent = percent;
    }

    int percent() {
        return lastPercent;
    }

    /** Whether lists went on coming and showed no progress for a time. */
    boolean isStill(long nowMillis, long millis) {
        return movedMillis != NEVER
                && lastMillis - movedMillis >= millis
                && nowMillis - lastMillis < millis;
    }

    /** Percent per second of late, negative if it isn't known. */
    double speed(long nowMillis) {
        long span = lastMillis - baseMillis;
        if (baseMillis == NEVER || span < MIN_SPAN_MILLIS || nowMillis - lastMillis > SPAN_MILLIS) {
            return -1;
        }
        return 1_000.0 * (lastPercent - basePercent) / span;
    }
}
