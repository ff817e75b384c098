package io.cardamomshelf.core.schedule;

/**
 * Why a job's tasks weren't placed in a round.
 *
 * <p>Immutable and thread-safe.
 */
public enum WaitReason {
    /** No worker that may run them has room. */
    NO_ROOM,
    /** The rack that they want has none, and waiting for it is shorter than the detour. */
    WANTED_RACK,
    /** Less urgent runs were told to stop for them. */
    RECLAIMING,
    /** It is being stored that they may run, which comes before the first start. */
    ANNOUNCING,
    /** After a change of scheduler it isn't known yet whether they run already. */
    TAKEOVER
}
