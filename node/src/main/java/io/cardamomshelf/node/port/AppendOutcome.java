package io.cardamomshelf.node.port;

/**
 * How an append to the store ended.
 *
 * <p>Use: only {@link Stored} may be acknowledged to a caller; only {@link Refused} may be called
 * "not done".
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface AppendOutcome {

    /**
     * The records are stored.
     *
     * @param offset the position of the first
     */
    record Stored(long offset) implements AppendOutcome {}

    /**
     * Nothing was stored, and nothing will be.
     *
     * @param reason why, not null
     */
    record Refused(String reason) implements AppendOutcome {}

    /** Nothing was stored, as another scheduler has taken over the stream. */
    record Deposed() implements AppendOutcome {}

    /**
     * It isn't known whether the records are stored, or still will be.
     *
     * @param reason why, not null
     */
    record Unknown(String reason) implements AppendOutcome {}
}
