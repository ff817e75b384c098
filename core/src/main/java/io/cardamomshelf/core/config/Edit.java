package io.cardamomshelf.core.config;

import io.cardamomshelf.core.base.Checks;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * An operator's edit of the two lists: changes that are in force together or not at all.
 *
 * <p>Use: {@code new Edit(Edit.FORMAT, "e-41", "thandi", changes)}, appended to the platform's log
 * and folded by every instance.
 *
 * <p>An edit's id makes a repeated append fold once. Limits: 1 to 10,000 changes, each key once.
 *
 * <p>Immutable and thread-safe.
 *
 * @param format the record's format version; a fold refuses formats that it doesn't know
 * @param id the edit's unique id, a name, not null
 * @param author who made the edit, a name, not null
 * @param changes the changes, not null
 */
public record Edit(int format, String id, String author, List<Change> changes) {

    /** The format version that this code writes. */
    public static final int FORMAT = 1;

    private static final int MAX_CHANGES = 10_000;

    /**
     * Creates an edit.
     *
     * @throws IllegalArgumentException if a value is missing or out of range, or a key stands twice
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
                throw new IllegalArgumentException("changes: " + change.key() + " stands twice");
            }
        }
    }
}
