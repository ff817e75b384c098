package io.cardamomshelf.core.config;

import io.cardamomshelf.core.base.Checks;
import java.util.Optional;

/**
 * The change of one entry in an edit, with the version of the entry that the change is based on.
 *
 * <p>Use: {@code new Change(key, 0, Optional.of(plan))} adds an entry. An empty value removes the
 * entry.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the key of the entry, not null
 * @param basedOn the version of the entry that the author saw, 0 if there was none
 * @param value the new value, not null, empty to remove the entry
 */
public record Change(EntryKey key, long basedOn, Optional<ListValue> value) {

    /**
     * Creates a change.
     *
     * @throws IllegalArgumentException if a value is missing, or not of the type of the key's
     *     section
     */
    public Change {
        Checks.notNull("key", key);
        Checks.range("basedOn", basedOn, 0, Long.MAX_VALUE);
        Checks.notNull("value", value);
        if (value.isPresent() && !key.section().valueType().isInstance(value.get())) {
            throw new IllegalArgumentException(
                    "value: " + value.get() + " is not a value of section " + key.section().text());
        }
    }
}
