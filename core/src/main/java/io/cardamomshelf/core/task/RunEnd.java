package io.cardamomshelf.core.task;

/**
 * How a run of a task ended, as its worker says.
 *
 * <p>Immutable and thread-safe.
 */
public enum RunEnd {
    /** Its work is done. */
    DONE,
    /** It failed, by its own fault or its worker's. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** Its lease ran out. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang didn't come in time. */
    ALONE
}
