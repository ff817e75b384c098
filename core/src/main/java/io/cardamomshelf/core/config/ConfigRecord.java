package io.cardamomshelf.core.config;

/**
 * A record of the log's configuration stream: an operator's edit, or a snapshot of the state.
 *
 * <p>Immutable and thread-safe, as both its kinds are.
 */
public sealed interface ConfigRecord {

    /**
     * An operator's edit.
     *
     * @param edit the edit, not null
     */
    record EditRecord(Edit edit) implements ConfigRecord {}

    /**
     * The state at an earlier offset, appended again before its edits expire.
     *
     * @param state the state, not null
     */
    record SnapshotRecord(ConfigState state) implements ConfigRecord {}

    /** A record that can't be read. */
    record Unreadable() implements ConfigRecord {}
}
