package io.cardamomshelf.core.task;

/**
 * How far a job has come, as its caller sees it.
 *
 * <p>Immutable and thread-safe.
 */
public enum JobState {
    /** Accepted, and no task has started yet. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** Every task has ended well. */
    COMPLETED,
    /** A task has failed as often as its queue allows. */
    FAILED,
    /** Its caller has cancelled it. */
    CANCELLED;

    /**
     * Asks whether the job is over.
     *
     * @return true if nothing of it may start any more
     */
    public boolean isEnded() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
