package io.cardamomshelf.core.schedule;

/**
 * Follows a worker's clock, and knows when everything that it was granted has lapsed.
 *
 * <p>Use: {@code observe} at each answer, {@code leaseEnd} for each grant, {@code isLapsed} once
 * the worker is silent.
 *
 * <p>Limits: the worker's clock may be slow by a fiftieth, so a lapse is waited for a little longer
 * than was granted. Not thread-safe: belongs to the instance's event loop.
 */
public final class LeaseClock {

    /** How much slower than true time a worker's clock may run; the platform's promise. */
    private static final double SLOWEST = 1.02;

    /** For the time that a killed run takes to be gone, in milliseconds. */
    private static final long MARGIN_MILLIS = 300;

    private final long inheritedUntilMillis;
    private boolean known;
    private long workerMillis;
    private long observedMillis;
    private long grantedMillis = Long.MIN_VALUE;

    /**
     * Creates the clock of a worker that hasn't answered yet.
     *
     * @param inheritedUntilMillis when leases of an earlier scheduler have lapsed, on the steady
     *     clock
     */
    public LeaseClock(long inheritedUntilMillis) {
        this.inheritedUntilMillis = inheritedUntilMillis;
    }

    /**
     * Returns how long a lease may go on, in the worst case.
     *
     * @param leaseMillis the lease on the worker's clock, in milliseconds
     * @return milliseconds of true time
     */
    public static long worstCaseMillis(long leaseMillis) {
        return (long) Math.ceil(leaseMillis * SLOWEST) + MARGIN_MILLIS;
    }

    /**
     * Takes the clock of an answer.
     *
     * @param clockMillis the worker's clock, in milliseconds
     * @param nowMillis the steady clock, in milliseconds
     */
    public void observe(long clockMillis, long nowMillis) {
        known = true;
        workerMillis = clockMillis;
        observedMillis = nowMillis;
    }

    /** Forgets all, as another incarnation has a clock of its own and holds nothing. */
    public void reset() {
        known = false;
        grantedMillis = Long.MIN_VALUE;
    }

    /**
     * Asks whether the worker's clock is known.
     *
     * @return true after the first answer
     */
    public boolean hasObservation() {
        return known;
    }

    /**
     * Grants a lease from now on.
     *
     * @param nowMillis the steady clock, in milliseconds
     * @param leaseMillis its length, in milliseconds
     * @return its end on the worker's clock, in milliseconds
     */
    public long grantLease(long nowMillis, long leaseMillis) {
        long end = workerMillis + (nowMillis - observedMillis) + leaseMillis;
        grantedMillis = Math.max(grantedMillis, end);
        return end;
    }

    /**
     * Asks whether nothing that was granted can still run.
     *
     * @param nowMillis the steady clock, in milliseconds
     * @return true if every lease has lapsed
     */
    public boolean haveLeasesLapsed(long nowMillis) {
        if (nowMillis < inheritedUntilMillis) {
            return false;
        }
        if (grantedMillis == Long.MIN_VALUE) {
            return true;
        }
        return nowMillis >= observedMillis + worstCaseMillis(grantedMillis - workerMillis);
    }
}
