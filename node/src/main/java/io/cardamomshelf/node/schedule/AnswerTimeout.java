package io.cardamomshelf.node.schedule;

/**
 * The time allowed for a worker's answer beyond the requested wait. It follows the delay of the
 * last answer, so that a slow worker keeps its runs.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class AnswerTimeout {

    /** The usual time, in milliseconds: several round trips between regions. */
    private static final long USUAL_MILLIS = 900;

    /**
     * The time allowed for an answer of a worker that was silent or slow, in milliseconds. A lease
     * is long enough for two calls of this duration, so that a worker that answers late keeps its
     * runs.
     */
    private static final long SLOW_MILLIS = 2_000;

    private long millis = USUAL_MILLIS;

    long millis() {
        return millis;
    }

    /** Allows the longest time, as the worker was silent. */
    void extend() {
        millis = SLOW_MILLIS;
    }

    /** Allows twice the delay of the last answer, counted from when it was due at the latest. */
    void adapt(long delayMillis) {
        millis = Math.max(USUAL_MILLIS, Math.min(2 * Math.max(0, delayMillis), SLOW_MILLIS));
    }
}
