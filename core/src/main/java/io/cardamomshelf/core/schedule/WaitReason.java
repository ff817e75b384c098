package io.cardamomshelf.core.schedule;

/**
 * The reason why tasks of a job weren't placed in a round.
 *
 * <p>Immutable and thread-safe.
 */
public enum WaitReason {
    /** No worker that may run them has enough free capacity. */
    NO_ROOM,
    /** Their preferred rack has no capacity, and waiting costs less than a non-local placement. */
    WANTED_RACK,
    /** Less urgent runs were ordered to stop for them. */
    RECLAIMING,
    /** Their host intents are being stored, which has to be done before the first start. */
    ANNOUNCING,
    /** After a change of scheduler it isn't known yet whether they are already running. */
    TAKEOVER,
    /** Their organisation may not have more running at present. */
    OVER_CAP
}
