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
    private static final long MAX_GAP_MILLIS = 1_600;

    /** Reads end about once a second; one that hangs for longer may hide signs, in milliseconds. */
    private static final long MAX_HANGING_MILLIS = 1_250;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long silenceMillis;
    private final long handicapMillis;
    private long dueSinceMillis = NEVER;
    private long heardMillis = NEVER;
    private long provenMillis = NEVER;
    private boolean vacant;

    /**
     * Creates a timer.
     *
     * @param silenceMillis how long the scheduler must be silent, in milliseconds; unequal among
     *     processes, so that they don't all stand at once
     * @param handicapMillis how long others are let first, in milliseconds, 0 or more
     */
    public ElectionTimer(long silenceMillis, long handicapMillis) {
        this.silenceMillis = silenceMillis;
        this.handicapMillis = handicapMillis;
    }

    /**
     * Notes a sign of the scheduler.
     *
     * @param nowMillis the steady clock, in milliseconds
     */
    public void signReceived(long nowMillis) {
        heardMillis = nowMillis;
        vacant = false;
    }

    /** Notes that the scheduler has resigned, so that nobody need wait. */
    public void schedulerResigned() {
        vacant = true;
    }

    /**
     * Notes that all stored records have been read.
     *
     * @param nowMillis the steady clock, in milliseconds
     */
    public void readCompleted(long nowMillis) {
        if (nowMillis - provenMillis > MAX_GAP_MILLIS) {
            heardMillis = Math.max(heardMillis, nowMillis);
        }
        provenMillis = nowMillis;
    }

    /**
     * Asks whether to stand now.
     *
     * @param nowMillis the steady clock, in milliseconds
     * @param ready whether this process could schedule at all
     * @return true if there is no scheduler, as far as a working path tells, and none of those that
     *     stand first was elected
     */
    public boolean isCandidacyDue(long nowMillis, boolean ready) {
        if (!ready || !mayStand(nowMillis)) {
            dueSinceMillis = NEVER;
            return false;
        }
        dueSinceMillis = dueSinceMillis == NEVER ? nowMillis : dueSinceMillis;
        return nowMillis - dueSinceMillis >= handicapMillis;
    }

    private boolean mayStand(long nowMillis) {
        if (nowMillis - provenMillis > MAX_HANGING_MILLIS) {
            return false;
        }
        return vacant || nowMillis - heardMillis >= silenceMillis;
    }
}
