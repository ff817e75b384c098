package io.cardamomshelf.core.fleet;

/**
 * How close to each other the accelerators of one job must be.
 *
 * <p>Immutable and thread-safe.
 */
public enum Adjacency {
    /** All on one worker. */
    WORKER,
    /** All in one rack. */
    RACK,
    /** All in one data centre. */
    DATA_CENTRE
}
