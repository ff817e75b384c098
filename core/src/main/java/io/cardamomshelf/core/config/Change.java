package io.cardamomshelf.core.config;

import io.cardamomshelf.core.base.Checks;
import java.util.Optional;

/**
 * One entry's change inside an edit, with the version that it is based on.
 *
 * <p>Use: {@code new Change(key, 0, Optional.of(plan))} adds an entry; an empty value removes one.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the entry, not null
 * @param basedOn the version of the entry that the author saw, 0 if there was none
 * @param value the new value, not null, empty to remove the entry
 */
public record Change(EntryKey key, long basedOn, Optional<ListValue> value) {

    /**
     * Creates a change.
     *
     * @throws IllegalArgumentException if a value is missing, or of another section's type
     */
    public Change {
        Checks.notNull("key", key);
        Checks.range("basedOn", basedOn, 0, Long.MAX_VALUE);
        Checks.notNull("value", value);
        if (value.isPresent() && !key.section().valueType().isInstance(value.get())) {
            throw new IllegalArgumentException(
                    "value: " + value.get() + " doesn't belong into " + key.section().text());
        }
    }
}
