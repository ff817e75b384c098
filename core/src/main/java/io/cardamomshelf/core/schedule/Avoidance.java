package io.cardamomshelf.core.schedule;

/**
 * How far a worker is avoided after a failure there, as it may be faulty. It is excluded at first,
 * and then used only for work that fits on no other worker.
 */
final class Avoidance {

    /** How long a worker is avoided after a failure, in milliseconds. */
    private static final long DURATION_MILLIS = 8_000;

    /** How long it is excluded, in milliseconds: work doesn't wait beside free capacity for 3 s. */
    private static final long EXCLUSION_MILLIS = 2_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long failedMillis = NEVER;

    /** Begins anew after a failure at this time, on the monotonic clock. */
    void begin(long nowMillis) {
        failedMillis = nowMillis;
    }

    /** Whether other workers are preferred. */
    boolean isActive(long nowMillis) {
        return nowMillis - failedMillis < DURATION_MILLIS;
    }

    /** Whether the worker isn't used even for work that fits on no other one. */
    boolean isExclusive(long nowMillis) {
        return nowMillis - failedMillis < EXCLUSION_MILLIS;
    }
}
