package io.cardamomshelf.core.task;

/**
 * The state of a job, as its caller sees it.
 *
 * <p>Immutable and thread-safe.
 */
public enum JobState {
    /** Accepted, and no task has started yet. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** Every task has succeeded. */
    COMPLETED,
    /** A task has failed as often as its queue allows. */
    FAILED,
    /** Its caller has cancelled it. */
    CANCELLED;

    /**
     * Returns whether the job has ended.
     *
     * @return true if no task of the job may start any more
     */
    public boolean isEnded() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
