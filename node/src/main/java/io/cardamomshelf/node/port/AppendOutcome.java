package io.cardamomshelf.node.port;

/**
 * How an append to the store ended.
 *
 * <p>Use: returned by {@link KeyedStore#append}. Only {@link Stored} may be acknowledged to a
 * caller, and only {@link Refused} may be reported to a caller as not done.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface AppendOutcome {

    /**
     * The records are stored.
     *
     * @param offset the position of the first record in its stream
     */
    record Stored(long offset) implements AppendOutcome {}

    /**
     * None of the records is stored, and none will be.
     *
     * @param reason the reason, not null
     */
    record Refused(String reason) implements AppendOutcome {}

    /** None of the records is stored, because another scheduler has taken over. */
    record Deposed() implements AppendOutcome {}

    /**
     * It isn't known whether the records are stored or will be stored later.
     *
     * @param reason the reason, not null
     */
    record Unknown(String reason) implements AppendOutcome {}
}
