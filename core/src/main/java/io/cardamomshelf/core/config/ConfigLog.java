package io.cardamomshelf.core.config;

import io.cardamomshelf.core.base.Checks;
import java.util.ArrayList;
import java.util.List;

/**
 * Folds pages of the configuration stream into the state in force. Older records of the stream
 * expire.
 *
 * <p>Use: {@code log.fold(first, records)} for each page read from {@code log.state().offset() +
 * 1}. If the records after the state have expired, there is a gap, and no edit is folded until it
 * is closed, either by a snapshot that includes the missing records or by a peer's newer state
 * ({@code adopt}). The offset of the state in force never decreases.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class ConfigLog {

    /**
     * A record of the stream with its offset.
     *
     * @param offset the offset in the stream, above 0
     * @param record the record, not null
     */
    public record LoggedRecord(long offset, ConfigRecord record) {}

    /**
     * An edit and the result of folding it.
     *
     * @param edit the edit, not null
     * @param result the result of folding it, not null
     */
    public record FoldedEdit(Edit edit, FoldResult result) {}

    private ConfigState state = ConfigState.EMPTY;
    private long snapshotOffset;
    private boolean gap;

    /** Creates a log with the empty state. */
    public ConfigLog() {}

    /**
     * Returns the state in force.
     *
     * @return the state, never null
     */
    public ConfigState state() {
        return state;
    }

    /**
     * Returns whether records expired before they were read and the gap has not been closed yet.
     *
     * @return true if there is a gap; the state in force may be outdated then
     */
    public boolean hasGap() {
        return gap;
    }

    /**
     * Returns the offset of the state in the latest snapshot read.
     *
     * @return the offset, 0 if no snapshot was read
     */
    public long snapshotOffset() {
        return snapshotOffset;
    }

    /**
     * Folds a page of the stream.
     *
     * @param first the oldest offset that the stream still contains, at least 0
     * @param records the records in offset order, not null
     * @return the result of each edit, in offset order, never null
     */
    public List<FoldedEdit> fold(long first, List<LoggedRecord> records) {
        Checks.range("first", first, 0, Long.MAX_VALUE);
        if (state.offset() + 1 < first) {
            gap = true;
            records.forEach(logged -> adoptAcrossGap(first, logged.record()));
        }
        List<FoldedEdit> folded = new ArrayList<>();
        if (!gap) {
            records.forEach(logged -> foldRecord(logged, folded));
        }
        return folded;
    }

    /**
     * Replaces the state in force by another state if that is newer. This also closes a gap.
     *
     * @param other the state of a peer or a snapshot, not null
     * @return true if the other state is in force now
     */
    public boolean adopt(ConfigState other) {
        if (other.offset() <= state.offset()) {
            return false;
        }
        state = other;
        gap = false;
        return true;
    }

    private void adoptAcrossGap(long first, ConfigRecord record) {
        if (gap
                && record instanceof ConfigRecord.SnapshotRecord snapshot
                && snapshot.state().offset() + 1 >= first) {
            adopt(snapshot.state());
        }
    }

    private void foldRecord(LoggedRecord logged, List<FoldedEdit> folded) {
        if (logged.record() instanceof ConfigRecord.EditRecord edit) {
            FoldResult result = state.fold(logged.offset(), edit.edit());
            state = result.state();
            if (result.status() != FoldResult.Status.OLD_OFFSET) {
                folded.add(new FoldedEdit(edit.edit(), result));
            }
            return;
        }
        if (logged.record() instanceof ConfigRecord.SnapshotRecord snapshot) {
            snapshotOffset = Math.max(snapshotOffset, snapshot.state().offset());
        }
        state = state.skip(logged.offset());
    }
}
