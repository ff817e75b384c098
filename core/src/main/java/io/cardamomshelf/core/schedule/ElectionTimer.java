package io.cardamomshelf.core.schedule;

/**
 * Decides when a process stands for scheduler.
 *
 * <p>Use: {@code heard} at each sign of the scheduler, {@code proven} at each read that reached the
 * end of the stored records, then {@code isDue} several times a second.
 *
 * <p>Load it answers: a scheduler that died must be replaced within seconds, but one whose signs
 * were only missed because the store was away must be let be. So silence counts only while this
 * process's own path to the store works. A machine too small to lead lets others stand first, as
 * rounds that use up its processor make all jobs late.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class ElectionTimer {

    /** A path without proof for longer than this says nothing of others, in milliseconds. */
    private static final long MAX_READ_GAP_MILLIS = 1_600;

    /** Reads end about once a second; one that hangs for longer may hide signs, in milliseconds. */
    private static final long MAX_READ_AGE_MILLIS = 1_250;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long timeoutMillis;
    private final long delayMillis;
    private long eligibleSinceMillis = NEVER;
    private long lastSignMillis = NEVER;
    private long lastReadMillis = NEVER;
    private boolean vacant;

    /**
     * Creates a timer.
     *
     * @param timeoutMillis how long the scheduler must be silent, in milliseconds; unequal among
     *     processes, so that they don't all stand at once
     * @param delayMillis how long others are let first, in milliseconds, 0 or more
     */
    public ElectionTimer(long timeoutMillis, long delayMillis) {
        this.timeoutMillis = timeoutMillis;
        this.delayMillis = delayMillis;
    }

    /**
     * Notes a sign of the scheduler.
     *
     * @param nowMillis the steady clock, in milliseconds
     */
    public void heard(long nowMillis) {
        lastSignMillis = nowMillis;
        vacant = false;
    }

    /** Notes that the scheduler has resigned, so that nobody need wait. */
    public void resigned() {
        vacant = true;
    }

    /**
     * Notes that all stored records have been read.
     *
     * @param nowMillis the steady clock, in milliseconds
     */
    public void proven(long nowMillis) {
        if (nowMillis - lastReadMillis > MAX_READ_GAP_MILLIS) {
            lastSignMillis = Math.max(lastSignMillis, nowMillis);
        }
        lastReadMillis = nowMillis;
    }

    /**
     * Asks whether to stand now.
     *
     * @param nowMillis the steady clock, in milliseconds
     * @param ready whether this process could schedule at all
     * @return true if there is no scheduler, as far as a working path tells, and none of those that
     *     stand first was elected
     */
    public boolean isDue(long nowMillis, boolean ready) {
        if (!ready || !isEligible(nowMillis)) {
            eligibleSinceMillis = NEVER;
            return false;
        }
        eligibleSinceMillis = eligibleSinceMillis == NEVER ? nowMillis : eligibleSinceMillis;
        return nowMillis - eligibleSinceMillis >= delayMillis;
    }

    private boolean isEligible(long nowMillis) {
        if (nowMillis - lastReadMillis > MAX_READ_AGE_MILLIS) {
            return false;
        }
        return vacant || nowMillis - lastSignMillis >= timeoutMillis;
    }
}
