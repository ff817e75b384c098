package io.cardamomshelf.core.config;

import java.util.List;

/**
 * The result of folding one edit: the state after it, and whether the edit was accepted.
 *
 * <p>Immutable and thread-safe.
 *
 * @param state the state after the record, not null; the entries are unchanged if the edit was
 *     refused
 * @param status whether the edit was accepted, and why not, not null
 * @param conflicts the entries whose version isn't the one that the edit is based on, empty unless
 *     the status is {@code CONFLICT}
 */
public record FoldResult(ConfigState state, Status status, List<EntryKey> conflicts) {

    /** Whether an edit was accepted, and why not. */
    public enum Status {
        /** The edit is in force. */
        ACCEPTED,
        /** An edit with the same id was accepted earlier; nothing changed. */
        REPEATED,
        /** An entry has changed since the version that the edit is based on; nothing changed. */
        CONFLICT,
        /** The record's format is unknown; nothing changed. */
        UNKNOWN_FORMAT,
        /** The record's offset is not above the state's; nothing changed. */
        OLD_OFFSET
    }

    /**
     * Creates a result.
     *
     * @throws NullPointerException if the conflicts are null
     */
    public FoldResult {
        conflicts = List.copyOf(conflicts);
    }

    /**
     * Returns whether the edit is in force, by this record or by an earlier one with the same id.
     *
     * @return true if it is
     */
    public boolean isInForce() {
        return status == Status.ACCEPTED || status == Status.REPEATED;
    }
}
