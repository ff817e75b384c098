package io.cardamomshelf.core.lease;

/**
 * The state of a lease on a worker.
 *
 * <p>Immutable and thread-safe.
 */
public enum LeaseState {
    /** The accelerators are held; nothing runs yet. */
    HELD,
    /** The lead's lease records the commit of the gang; nothing runs on it yet. */
    COMMITTED,
    /** The task runs. */
    RUNNING,
    /** The task ended successfully. */
    DONE,
    /** The task failed. */
    FAILED;

    /**
     * Returns whether the task has ended.
     *
     * @return true if it is done or failed
     */
    public boolean isEnded() {
        return this == DONE || this == FAILED;
    }
}
