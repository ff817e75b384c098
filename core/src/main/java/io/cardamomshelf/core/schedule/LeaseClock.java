package io.cardamomshelf.core.schedule;

/**
 * Tracks a worker's clock, and computes when all leases that it was granted have lapsed.
 *
 * <p>Use: {@code observe} at each answer, {@code grantLease} for each grant once there is an
 * observation, {@code haveLeasesLapsed} once the worker is unresponsive.
 *
 * <p>Limits: the worker's clock may be slow by a fiftieth, so a lease counts as lapsed a little
 * later than its granted length. Not thread-safe: used only on the instance's event loop.
 */
public final class LeaseClock {

    /**
     * The factor by which a worker's clock may be slower than true time, as the platform states.
     */
    private static final double MAX_CLOCK_SLOWDOWN = 1.02;

    /** The time allowed for a killed run to end, in milliseconds. */
    private static final long KILL_MARGIN_MILLIS = 300;

    private long unknownUntilMillis;
    private boolean known;
    private long observedWorkerMillis;
    private long observedMillis;
    private long latestLeaseEndMillis = Long.MIN_VALUE;

    /**
     * Creates the clock of a worker that hasn't answered yet.
     *
     * @param inheritedUntilMillis when leases of an earlier scheduler have lapsed, on the monotonic
     *     clock
     */
    public LeaseClock(long inheritedUntilMillis) {
        this.unknownUntilMillis = inheritedUntilMillis;
    }

    /**
     * Returns how long runs under a lease may last in the worst case.
     *
     * @param leaseMillis the lease on the worker's clock, in milliseconds
     * @return milliseconds of true time
     */
    public static long worstCaseMillis(long leaseMillis) {
        return (long) Math.ceil(leaseMillis * MAX_CLOCK_SLOWDOWN) + KILL_MARGIN_MILLIS;
    }

    /**
     * Records the worker's clock from an answer.
     *
     * @param clockMillis the worker's clock, in milliseconds
     * @param nowMillis the monotonic clock, in milliseconds
     */
    public void observe(long clockMillis, long nowMillis) {
        known = true;
        observedWorkerMillis = clockMillis;
        observedMillis = nowMillis;
    }

    /**
     * Resets the clock for a new incarnation, which has its own clock. A call that was sent to the
     * old incarnation may reach the new one, which then takes a lease of unknown length from it.
     *
     * @param unknownUntilMillis when such a lease has lapsed, on the monotonic clock
     */
    public void reset(long unknownUntilMillis) {
        known = false;
        latestLeaseEndMillis = Long.MIN_VALUE;
        this.unknownUntilMillis = Math.max(this.unknownUntilMillis, unknownUntilMillis);
    }

    /**
     * Returns whether the worker's clock is known.
     *
     * @return true after the first answer
     */
    public boolean hasObservation() {
        return known;
    }

    /**
     * Grants a lease that starts now.
     *
     * @param nowMillis the monotonic clock, in milliseconds
     * @param leaseMillis its length, in milliseconds
     * @return its end on the worker's clock, in milliseconds
     */
    public long grantLease(long nowMillis, long leaseMillis) {
        long endMillis = observedWorkerMillis + (nowMillis - observedMillis) + leaseMillis;
        latestLeaseEndMillis = Math.max(latestLeaseEndMillis, endMillis);
        return endMillis;
    }

    /**
     * Returns whether all granted leases have lapsed, so that no run under them can still exist.
     *
     * @param nowMillis the monotonic clock, in milliseconds
     * @return true if every lease has lapsed
     */
    public boolean haveLeasesLapsed(long nowMillis) {
        if (nowMillis < unknownUntilMillis) {
            return false;
        }
        if (latestLeaseEndMillis == Long.MIN_VALUE) {
            return true;
        }
        return nowMillis
                >= observedMillis + worstCaseMillis(latestLeaseEndMillis - observedWorkerMillis);
    }
}
