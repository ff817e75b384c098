package io.cardamomshelf.core.schedule;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tracks a worker's clock, and computes when all leases that it was granted have lapsed.
 *
 * <p>Use: {@code observe} at each answer, {@code grantLease} for each call that grants a lease
 * while {@code hasObservation}, {@code callAnswered} at its answer, {@code haveLeasesLapsed} once
 * the worker is unresponsive, {@code reset} once it has restarted.
 *
 * <p>A call without an answer may be carried out late, and then by the worker's next incarnation.
 * The end of its lease is far ahead of that one's clock, so the worker grants the longest lease.
 * Until no such lease can exist any more, {@code haveLeasesLapsed} returns false:
 *
 * <ul>
 *   <li>The calls of this scheduler are known. One that got no answer counts for as long as it may
 *       be carried out late.
 *   <li>Those of earlier schedulers aren't known. Each had learnt of a restart soon after it, so an
 *       incarnation that has been up for long enough has no such lease.
 * </ul>
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

    /** How long after it was sent a call may still be carried out, in milliseconds. */
    public static final long MAX_CALL_DELAY_MILLIS = 12_000;

    /**
     * How long a scheduler may go on with the clock of an earlier incarnation, in milliseconds. By
     * then the registry shows the new one, or has dropped the entry of the old one.
     */
    private static final long MAX_RESTART_UNNOTICED_MILLIS = 6_000;

    private final long maxLeaseMillis;
    private final long lastInheritedCallMillis;

    /** When the calls were sent that grant leases and have no answer, oldest first. */
    private final Deque<Long> unansweredCalls = new ArrayDeque<>();

    private long unknownUntilMillis;
    private boolean known;
    private long observedWorkerMillis;
    private long observedMillis;
    private long latestLeaseEndMillis = Long.MIN_VALUE;

    /**
     * Creates the clock of a worker that hasn't answered yet.
     *
     * @param startedMillis when the worker's incarnation had started at the latest, on the
     *     monotonic clock
     * @param inheritedUntilMillis when leases that an earlier scheduler granted to this incarnation
     *     have lapsed, on the monotonic clock
     * @param lastInheritedCallMillis when an earlier scheduler sent its last call at the latest, on
     *     the monotonic clock; {@code Long.MIN_VALUE} if there was none
     * @param maxLeaseMillis the longest lease that a worker grants, in milliseconds
     */
    public LeaseClock(
            long startedMillis,
            long inheritedUntilMillis,
            long lastInheritedCallMillis,
            long maxLeaseMillis) {
        this.unknownUntilMillis = inheritedUntilMillis;
        this.lastInheritedCallMillis = lastInheritedCallMillis;
        this.maxLeaseMillis = maxLeaseMillis;
        expectInheritedCalls(startedMillis);
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
     * before that is observed. Calls that were meant for the old incarnation may have reached the
     * new one by now, and those without an answer may still do so.
     *
     * @param nowMillis the monotonic clock, in milliseconds
     */
    public void reset(long nowMillis) {
        known = false;
        latestLeaseEndMillis = Long.MIN_VALUE;
        expectCallUntil(nowMillis);
        expectInheritedCalls(nowMillis);
        dropExpiredCalls(nowMillis);
        if (!unansweredCalls.isEmpty()) {
            expectCallUntil(unansweredCalls.getLast() + MAX_CALL_DELAY_MILLIS);
        }
    }

    /**
     * Records that a call which grants a lease was answered, so it won't be carried out late.
     *
     * @param sentMillis the time that was passed to {@code grantLease} for it
     */
    public void callAnswered(long sentMillis) {
        unansweredCalls.removeFirstOccurrence(sentMillis);
    }

    /** Allows for the calls of earlier schedulers that were meant for an earlier incarnation. */
    private void expectInheritedCalls(long startedMillis) {
        if (lastInheritedCallMillis != Long.MIN_VALUE) {
            long lastCallMillis =
                    Math.min(lastInheritedCallMillis, startedMillis + MAX_RESTART_UNNOTICED_MILLIS);
            expectCallUntil(lastCallMillis + MAX_CALL_DELAY_MILLIS);
        }
    }

    /** Allows for a lease of unknown length that is granted at this time at the latest. */
    private void expectCallUntil(long millis) {
        unknownUntilMillis = Math.max(unknownUntilMillis, millis + worstCaseMillis(maxLeaseMillis));
    }

    private void dropExpiredCalls(long nowMillis) {
        while (!unansweredCalls.isEmpty()
                && unansweredCalls.getFirst() + MAX_CALL_DELAY_MILLIS < nowMillis) {
            unansweredCalls.removeFirst();
        }
    }

    /**
     * Returns how long the worker may still have a lease of unknown length.
     *
     * @param nowMillis the monotonic clock, in milliseconds
     * @return milliseconds, 0 if it has none
     */
    public long unknownMillis(long nowMillis) {
        return Math.max(0, unknownUntilMillis - nowMillis);
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
     * Grants a lease that starts now, with a call that is sent now.
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
        dropExpiredCalls(nowMillis);
        unansweredCalls.addLast(nowMillis);
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
