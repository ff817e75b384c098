package io.cardamomshelf.core.request;

import io.cardamomshelf.core.base.Checks;

/**
 * A circuit breaker for one worker or upstream: ejects it after failures in a row, then probes.
 *
 * <p>Use: ask {@code isOpen(now)} before choosing it, then report {@code plusSuccess()} or {@code
 * plusFailure(now)}. While half open, one probe at a time is let through; each failed probe doubles
 * the pause. A fast failure so never attracts load, however short its queue.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class Breaker {

    private static final int MAX_DOUBLINGS = 5;
    private static final int MAX_FAILURES = 100;
    private static final long MAX_PAUSE_MILLIS = 3_600_000;

    private final int maxFailures;
    private final long pauseMillis;
    private int failures;
    private int ejections;
    private long openUntilMillis;
    private boolean probing;

    /**
     * Creates a closed breaker.
     *
     * @param maxFailures failures in a row that open it, 1 to 100
     * @param pauseMillis the first pause before a probe, in milliseconds, 1 to 3,600,000
     * @throws IllegalArgumentException if a value is out of range
     */
    public Breaker(int maxFailures, long pauseMillis) {
        this.maxFailures = (int) Checks.range("maxFailures", maxFailures, 1, MAX_FAILURES);
        this.pauseMillis = Checks.range("pauseMillis", pauseMillis, 1, MAX_PAUSE_MILLIS);
    }

    /**
     * Asks whether nothing may be sent now.
     *
     * @param nowMillis the time, in milliseconds
     * @return true while ejected, or while a probe is out
     */
    public boolean isOpen(long nowMillis) {
        return isEjected() && (nowMillis < openUntilMillis || probing);
    }

    /**
     * Asks whether it has been ejected and not yet passed a probe.
     *
     * @return true if it is ejected
     */
    public boolean isEjected() {
        return ejections > 0;
    }

    /** Notes that something was sent; while ejected, this is the probe. */
    public void recordAttempt() {
        probing = isEjected();
    }

    /** Notes a success, which closes the breaker. */
    public void recordSuccess() {
        failures = 0;
        ejections = 0;
        probing = false;
    }

    /**
     * Notes a failure.
     *
     * @param nowMillis the time, in milliseconds
     * @return true if this failure ejected it from normal service
     */
    public boolean recordFailure(long nowMillis) {
        probing = false;
        failures++;
        if (failures < maxFailures && !isEjected()) {
            return false;
        }
        boolean first = !isEjected();
        openUntilMillis = nowMillis + (pauseMillis << Math.min(ejections, MAX_DOUBLINGS));
        ejections++;
        return first;
    }
}
