package io.cardamomshelf.core.lease;

/**
 * What a lease on a worker stands at.
 *
 * <p>Immutable and thread-safe.
 */
public enum LeaseState {
    /** The accelerators are held; nothing runs. */
    HELD,
    /** The lead's lease carries the gang's commit; nothing runs on it yet. */
    COMMITTED,
    /** The task runs. */
    RUNNING,
    /** The task ran to its end. */
    DONE,
    /** The task failed. */
    FAILED;

    /**
     * Asks whether the task has ended.
     *
     * @return true if it is done or failed
     */
    public boolean isEnded() {
        return this == DONE || this == FAILED;
    }
}
