package io.cardamomshelf.core.schedule;

/**
 * Decides when a process runs for election as scheduler.
 *
 * <p>Use: {@code signReceived} at each sign that the scheduler is alive, {@code readCompleted} at
 * each read that reached the end of the stored records, then {@code isCandidacyDue} several times a
 * second.
 *
 * <p>A scheduler that died must be replaced within seconds, but one whose signs were missed only
 * because the store was unreachable must not be. So the timeout runs only while this process itself
 * can read the store. A process with too little processor capacity for scheduling delays its
 * candidacy so that others are elected first, as rounds that use up its processor would delay all
 * jobs. A process that was suspended has missed signs too; its monotonic clock doesn't show that,
 * so the age of a read counts by both clocks.
 *
 * <p>Not thread-safe: used only on the instance's event loop.
 */
public final class ElectionTimer {

    /**
     * After a longer gap between complete reads the timeout starts again, as signs of the scheduler
     * may have been missed, in milliseconds.
     */
    private static final long MAX_READ_GAP_MILLIS = 1_600;

    /**
     * The greatest age of the last complete read for a candidacy, in milliseconds. Reads complete
     * about once a second. While one takes longer, signs of the scheduler may be stored that this
     * process hasn't received.
     */
    private static final long MAX_READ_AGE_MILLIS = 1_250;

    private static final long NOT_ELIGIBLE = Long.MIN_VALUE;

    /** A reading that is longer ago than every limit. */
    private static final ClockReading NEVER =
            new ClockReading(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    private final long timeoutMillis;
    private final long delayMillis;
    private long eligibleSinceMillis = NOT_ELIGIBLE;
    private ClockReading lastSign = NEVER;
    private ClockReading lastRead = NEVER;
    private boolean resigned;

    /**
     * Creates a timer.
     *
     * @param timeoutMillis how long there must be no sign of the scheduler, in milliseconds;
     *     differs among processes, so that they aren't candidates at the same time
     * @param delayMillis how long this process waits for other candidates, in milliseconds, 0 or
     *     more
     */
    public ElectionTimer(long timeoutMillis, long delayMillis) {
        this.timeoutMillis = timeoutMillis;
        this.delayMillis = delayMillis;
    }

    /**
     * Records a sign that the scheduler is alive.
     *
     * @param now the time, not null
     */
    public void signReceived(ClockReading now) {
        lastSign = now;
        resigned = false;
    }

    /** Records that the scheduler has resigned, so that no timeout is needed. */
    public void schedulerResigned() {
        resigned = true;
    }

    /**
     * Records that all stored records have been read.
     *
     * @param now the time, not null
     */
    public void readCompleted(ClockReading now) {
        if (now.maxMillisSince(lastRead) > MAX_READ_GAP_MILLIS) {
            lastSign = now;
        }
        lastRead = now;
    }

    /**
     * Returns whether this process is to be a candidate now.
     *
     * @param now the time, not null
     * @param ready whether this process is able to schedule
     * @return true if the timeout has passed with a working path to the store, or the scheduler has
     *     resigned, and no other candidate was elected during the delay
     */
    public boolean isCandidacyDue(ClockReading now, boolean ready) {
        if (!ready || !isEligible(now)) {
            eligibleSinceMillis = NOT_ELIGIBLE;
            return false;
        }
        if (eligibleSinceMillis == NOT_ELIGIBLE) {
            eligibleSinceMillis = now.monotonicMillis();
        }
        return now.monotonicMillis() - eligibleSinceMillis >= delayMillis;
    }

    private boolean isEligible(ClockReading now) {
        if (now.maxMillisSince(lastRead) > MAX_READ_AGE_MILLIS) {
            return false;
        }
        return resigned || now.monotonicMillis() - lastSign.monotonicMillis() >= timeoutMillis;
    }
}
