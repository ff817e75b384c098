package io.cardamomshelf.core.task;

/**
 * How a run of a task ended, as its worker reported it.
 *
 * <p>Immutable and thread-safe.
 */
public enum RunEnd {
    /** The run completed its work. */
    DONE,
    /** The run failed, through its own fault or its worker's. */
    FAILED,
    /** The run was stopped by an order. */
    STOPPED,
    /** The run's lease expired. */
    LAPSED,
    /** Another member of the run's gang ended. */
    BROKEN,
    /** The other members of the run's gang did not start in time. */
    ALONE
}
