package io.cardamomshelf.core.config;

import java.util.List;

/**
 * What a fold made of one edit: the state after it, and whether the edit was accepted.
 *
 * <p>Immutable and thread-safe.
 *
 * @param state the state after the record, not null; the same entries as before if refused
 * @param status what became of the edit, not null
 * @param conflicts the entries whose version was another than the edit's, empty unless it lost a
 *     race
 */
public record FoldResult(ConfigState state, Status status, List<EntryKey> conflicts) {

    /** What became of an edit. */
    public enum Status {
        /** The edit is in force. */
        ACCEPTED,
        /** The edit's id was folded before; nothing changed. */
        REPEATED,
        /** An entry had moved on since the author saw it; nothing changed. */
        CONFLICT,
        /** The record's format is unknown; nothing changed. */
        UNKNOWN_FORMAT,
        /** The record's offset is not above the state's; nothing changed. */
        OLD_OFFSET
    }

    /**
     * Creates a result.
     *
     * @throws NullPointerException if a value is null
     */
    public FoldResult {
        conflicts = List.copyOf(conflicts);
    }

    /**
     * Asks whether the edit is in force, by this record or an earlier one of the same id.
     *
     * @return true if it is
     */
    public boolean isInForce() {
        return status == Status.ACCEPTED || status == Status.REPEATED;
    }
}
