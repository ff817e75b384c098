package io.cardamomshelf.node.port;

import io.cardamomshelf.core.base.Checks;

/**
 * A record of the store under a key.
 *
 * <p>Use: {@code StoredRecord.of(key, bytes)} to append; read records carry their offset.
 *
 * <p>Limits: the bytes are shared, not copied; nobody changes them. Immutable and thread-safe.
 *
 * @param key the key, not null
 * @param value the value, not null; empty if the key was dropped
 * @param offset the position in its stream, -1 before it is appended
 */
public record StoredRecord(String key, byte[] value, long offset) {

    private static final long NOT_APPENDED = -1;

    /**
     * Creates a record.
     *
     * @throws IllegalArgumentException if a part is missing
     */
    public StoredRecord {
        Checks.notNull("key", key);
        Checks.notNull("value", value);
    }

    /**
     * Makes a record to append.
     *
     * @param key the key, not null
     * @param value the value, not null
     * @return the record, never null
     */
    public static StoredRecord of(String key, byte[] value) {
        return new StoredRecord(key, value, NOT_APPENDED);
    }

    /**
     * Makes a record that drops a key.
     *
     * @param key the key, not null
     * @return the record, never null
     */
    public static StoredRecord tombstone(String key) {
        return of(key, new byte[0]);
    }

    /**
     * Asks whether the record drops its key.
     *
     * @return true if there is no value
     */
    public boolean isTombstone() {
        return value.length == 0;
    }
}
