package io.cardamomshelf.core.config;

import io.cardamomshelf.core.base.Checks;
import java.util.ArrayList;
import java.util.List;

/**
 * Folds pages of the configuration stream, whose older records expire.
 *
 * <p>Use: {@code log.fold(first, records)} for each page read from {@code log.state().offset() +
 * 1}. A page that starts past the next offset leaves a gap: only a snapshot that covers it, or a
 * peer's newer state through {@code adopt}, leads over it. The state in force never goes back.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class ConfigLog {

    /**
     * A record with its offset.
     *
     * @param offset the offset in the stream, above 0
     * @param record the record, not null
     */
    public record LoggedRecord(long offset, ConfigRecord record) {}

    /**
     * What became of an edit.
     *
     * @param edit the edit, not null
     * @param result its fold's result, not null
     */
    public record FoldedEdit(Edit edit, FoldResult result) {}

    private ConfigState state = ConfigState.EMPTY;
    private long snapshotOffset;
    private boolean gap;

    /** Creates a log at its beginning. */
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
     * Asks whether records expired before they were read, and nothing has led over the gap yet.
     *
     * @return true if so; the state in force is old then
     */
    public boolean hasGap() {
        return gap;
    }

    /**
     * Returns the state's offset in the latest snapshot seen.
     *
     * @return the offset, 0 if none was seen
     */
    public long snapshotOffset() {
        return snapshotOffset;
    }

    /**
     * Folds a page.
     *
     * @param first the oldest offset that the stream still holds, above 0
     * @param records the records in offset order, not null
     * @return what became of each edit, in order, never null
     */
    public List<FoldedEdit> fold(long first, List<LoggedRecord> records) {
        Checks.range("first", first, 0, Long.MAX_VALUE);
        if (state.offset() + 1 < first) {
            gap = true;
            records.forEach(logged -> bridge(first, logged.record()));
        }
        List<FoldedEdit> folded = new ArrayList<>();
        if (!gap) {
            records.forEach(logged -> foldOne(logged, folded));
        }
        return folded;
    }

    /**
     * Takes a peer's state if it is newer.
     *
     * @param other the peer's state, not null
     * @return true if it is in force now
     */
    public boolean adopt(ConfigState other) {
        if (other.offset() <= state.offset()) {
            return false;
        }
        state = other;
        gap = false;
        return true;
    }

    private void bridge(long first, ConfigRecord record) {
        if (gap
                && record instanceof ConfigRecord.SnapshotRecord snapshot
                && snapshot.state().offset() + 1 >= first) {
            adopt(snapshot.state());
        }
    }

    private void foldOne(LoggedRecord numbered, List<FoldedEdit> folded) {
        if (numbered.record() instanceof ConfigRecord.EditRecord edit) {
            FoldResult result = state.fold(numbered.offset(), edit.edit());
            state = result.state();
            if (result.status() != FoldResult.Status.OLD_OFFSET) {
                folded.add(new FoldedEdit(edit.edit(), result));
            }
            return;
        }
        if (numbered.record() instanceof ConfigRecord.SnapshotRecord snapshot) {
            snapshotOffset = Math.max(snapshotOffset, snapshot.state().offset());
        }
        state = state.plusSkipped(numbered.offset());
    }
}
