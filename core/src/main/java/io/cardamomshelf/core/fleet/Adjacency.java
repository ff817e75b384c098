package io.cardamomshelf.core.fleet;

/**
 * How near the accelerators of one job must be to each other.
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
