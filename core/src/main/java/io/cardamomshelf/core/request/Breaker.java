package io.cardamomshelf.core.request;

import io.cardamomshelf.core.base.Checks;

/**
 * A circuit breaker for one worker or upstream: ejects it after consecutive failures, then probes
 * it.
 *
 * <p>Use: check {@code isOpen(now)} before choosing the worker or upstream, call {@code
 * recordAttempt()} when a request is sent, then {@code recordSuccess()} or {@code
 * recordFailure(now)}. After the pause, one probe at a time is allowed. Each failed probe doubles
 * the pause, up to five times. Without ejection, an upstream that fails fast would attract load,
 * because it has few requests in flight.
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
     * @param maxFailures the number of consecutive failures that open it, 1 to 100
     * @param pauseMillis the pause before the first probe, in milliseconds, 1 to 3,600,000
     * @throws IllegalArgumentException if a value is out of range
     */
    public Breaker(int maxFailures, long pauseMillis) {
        this.maxFailures = (int) Checks.range("maxFailures", maxFailures, 1, MAX_FAILURES);
        this.pauseMillis = Checks.range("pauseMillis", pauseMillis, 1, MAX_PAUSE_MILLIS);
    }

    /**
     * Returns whether requests must not be sent now.
     *
     * @param nowMillis the time, in milliseconds
     * @return true during the pause of an ejection and while a probe is in flight
     */
    public boolean isOpen(long nowMillis) {
        return isEjected() && (nowMillis < openUntilMillis || probing);
    }

    /**
     * Returns whether the worker or upstream is ejected.
     *
     * @return true from the ejection until the next success
     */
    public boolean isEjected() {
        return ejections > 0;
    }

    /** Records that a request was sent. While ejected, this request is the probe. */
    public void recordAttempt() {
        probing = isEjected();
    }

    /** Records a success, which closes the breaker. */
    public void recordSuccess() {
        failures = 0;
        ejections = 0;
        probing = false;
    }

    /**
     * Records a failure.
     *
     * @param nowMillis the time, in milliseconds
     * @return true if this failure ejected the worker or upstream, false if it was ejected already
     *     or stays in service
     */
    public boolean recordFailure(long nowMillis) {
        probing = false;
        failures++;
        if (failures < maxFailures && !isEjected()) {
            return false;
        }
        boolean newlyEjected = !isEjected();
        openUntilMillis = nowMillis + (pauseMillis << Math.min(ejections, MAX_DOUBLINGS));
        ejections++;
        return newlyEjected;
    }
}
