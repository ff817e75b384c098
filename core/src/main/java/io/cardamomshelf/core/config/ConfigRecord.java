package io.cardamomshelf.core.config;

/**
 * A record of the configuration stream in the platform's log.
 *
 * <p>Immutable and thread-safe, as all its kinds are.
 */
public sealed interface ConfigRecord {

    /**
     * An operator's edit.
     *
     * @param edit the edit, not null
     */
    record EditRecord(Edit edit) implements ConfigRecord {}

    /**
     * A snapshot: the state at an earlier offset, appended before the edits that led to it expire.
     *
     * @param state the state, not null
     */
    record SnapshotRecord(ConfigState state) implements ConfigRecord {}

    /** A record that can't be read. */
    record Unreadable() implements ConfigRecord {}
}
