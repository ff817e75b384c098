package io.cardamomshelf.core.config;

/**
 * An entry in force: its value, and its version, which is the offset of the edit that set it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the value, not null
 * @param version the log offset of the edit, above 0
 * @param editId the edit's id, not null
 * @param author the edit's author, not null
 */
public record Entry(ListValue value, long version, String editId, String author) {}
