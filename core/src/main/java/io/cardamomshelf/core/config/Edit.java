package io.cardamomshelf.core.config;

import io.cardamomshelf.core.base.Checks;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * An operator's edit of the two lists (plans; grants and data centres): a set of changes that are
 * applied all together or not at all.
 *
 * <p>Use: {@code new Edit(Edit.FORMAT, "e-41", "thandi", changes)}, appended to the platform's log
 * and folded by every instance.
 *
 * <p>An edit that is appended to the log twice is applied once, because both records have the same
 * id. Limits: 1 to 10,000 changes, each of a different key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param format the format version of the record; the fold refuses unknown formats
 * @param id the unique id of the edit, a valid {@linkplain Checks#name name}, not null
 * @param author the name of the operator who made the edit, not null
 * @param changes the changes, not null
 */
public record Edit(int format, String id, String author, List<Change> changes) {

    /** The format version that this code writes. */
    public static final int FORMAT = 1;

    private static final int MAX_CHANGES = 10_000;

    /**
     * Creates an edit.
     *
     * @throws IllegalArgumentException if a value is missing or out of range, or a key appears
     *     twice
     */
    public Edit {
        Checks.range("format", format, 1, Integer.MAX_VALUE);
        Checks.name("id", id);
        Checks.name("author", author);
        Checks.notNull("changes", changes);
        changes = List.copyOf(changes);
        Checks.range("changes", changes.size(), 1, MAX_CHANGES);
        Set<EntryKey> seen = new HashSet<>();
        for (Change change : changes) {
            if (!seen.add(change.key())) {
                throw new IllegalArgumentException("changes: " + change.key() + " appears twice");
            }
        }
    }
}
