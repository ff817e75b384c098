package io.cardamomshelf.node.port;

import io.cardamomshelf.core.base.Checks;
import java.nio.charset.StandardCharsets;

/**
 * A record of the store: a key with its value, or with no value if the key was deleted.
 *
 * <p>Use: {@code StoredRecord.of(key, bytes)} to append; records that were read have their offset.
 *
 * <p>Limits: the bytes are shared, not copied, and must not be modified. Immutable and thread-safe.
 *
 * @param key the key, not null
 * @param value the value, not null; empty if the key was deleted
 * @param offset the position in the stream, -1 before the record is appended
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
     * Creates a record to append.
     *
     * @param key the key, not null
     * @param value the value, not null
     * @return the record, never null
     */
    public static StoredRecord of(String key, byte[] value) {
        return new StoredRecord(key, value, NOT_APPENDED);
    }

    /**
     * Creates a record to append that deletes a key.
     *
     * @param key the key, not null
     * @return the record, never null
     */
    public static StoredRecord tombstone(String key) {
        return of(key, new byte[0]);
    }

    /**
     * Returns the size that counts towards the store's limits.
     *
     * @return the bytes of the key and the value
     */
    public int sizeBytes() {
        return key.getBytes(StandardCharsets.UTF_8).length + value.length;
    }

    /**
     * Returns whether the record deletes its key.
     *
     * @return true if the value is empty
     */
    public boolean isTombstone() {
        return value.length == 0;
    }
}
