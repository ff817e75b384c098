package io.cardamomshelf.node.schedule;

import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;

/**
 * Decides whether a scheduler has to resign because it can't read the jobs while its own records
 * are stored, so that a process that can read them is elected.
 *
 * <p>During an outage of the store neither is possible, and the scheduler goes on with the jobs
 * that it knows.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class ViewLag {

    /**
     * How far the view of the jobs may be behind the last stored record, in milliseconds. It
     * exceeds a read that stops and its repetition.
     */
    private static final long MAX_MILLIS = 5_000;

    private long lastReadMillis;

    /** Records that the view was complete at a time on the monotonic clock. */
    void readCompleted(long nowMillis) {
        lastReadMillis = nowMillis;
    }

    /** Returns whether a term has to end; writes a log line if so. */
    boolean isExcessive(SchedulerTerm term) {
        long lagMillis = term.lastStoredAppendMillis() - lastReadMillis;
        if (lagMillis <= MAX_MILLIS) {
            return false;
        }
        EventLog.of(NodeEvent.VIEW_OUTDATED)
                .with("epoch", term.epoch())
                .with("lagMillis", lagMillis)
                .write();
        return true;
    }
}
