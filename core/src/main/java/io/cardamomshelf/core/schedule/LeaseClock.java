package io.cardamomshelf.core.schedule;

/**
 * Tracks a worker's clock, and computes when all leases that it was granted have lapsed.
 *
 * <p>Use: {@code observe} at each answer, {@code grantLease} for each grant while {@code
 * hasObservation}, {@code haveLeasesLapsed} once the worker is unresponsive, {@code reset} once it
 * has restarted.
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
     * Returns whether an answer shows that the worker has restarted. Its clock only goes forward,
     * so it can't be behind an observation that was made before the call was sent.
     *
     * @param clockMillis the worker's clock in the answer, in milliseconds
     * @param sentMillis when the call was sent, on the monotonic clock, in milliseconds
     * @return true if the clock was reset
     */
    public boolean showsRestart(long clockMillis, long sentMillis) {
        return known && sentMillis >= observedMillis && clockMillis < observedWorkerMillis;
    }

    /**
     * Records the worker's clock from an answer, unless a later reading is known already.
     *
     * @param clockMillis the worker's clock, in milliseconds
     * @param nowMillis the monotonic clock, in milliseconds
     */
    public void observe(long clockMillis, long nowMillis) {
        if (known && clockMillis < observedWorkerMillis) {
            return;
        }
        known = true;
        observedWorkerMillis = clockMillis;
        observedMillis = nowMillis;
    }

    /**
     * Resets the clock for a new incarnation, which has its own clock. No lease can be granted
     * before that is observed. A call that was sent to the old incarnation may reach the new one,
     * which then takes a lease of unknown length from it.
     *
     * @param unknownUntilMillis when such a lease has lapsed, on the monotonic clock
     */
    public void reset(long unknownUntilMillis) {
        known = false;
        latestLeaseEndMillis = Long.MIN_VALUE;
        this.unknownUntilMillis = Math.max(this.unknownUntilMillis, unknownUntilMillis);
    }

    /**
     * Returns whether the clock of the worker's current incarnation is known.
     *
     * @return true after its first answer
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
     * @throws IllegalStateException if the worker's clock isn't known
     */
    public long grantLease(long nowMillis, long leaseMillis) {
        if (!known) {
            throw new IllegalStateException("the worker's clock isn't known");
        }
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
