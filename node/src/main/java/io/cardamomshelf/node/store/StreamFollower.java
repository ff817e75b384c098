package io.cardamomshelf.node.store;

import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.port.ExpiredException;
import io.cardamomshelf.node.port.KeyedStore;
import io.cardamomshelf.node.port.KeyedStore.NewestPage;
import io.cardamomshelf.node.port.KeyedStore.Tail;
import io.cardamomshelf.node.port.StoredRecord;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads one stream of the store, passes its records to a {@link Fold}, and measures how long ago
 * the fold was last known to be current.
 *
 * <p>Use: {@code follower.start()}. The fold first gets the newest record of each key, then every
 * later record in order. If records expired before they were read, the newest record of each key is
 * loaded again.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class StreamFollower {

    /** The state that the records of a stream are folded into. */
    public interface Fold {

        /**
         * Replaces the state by the newest record of every key; other keys are dropped.
         *
         * @param records the records, not null
         */
        void replace(List<StoredRecord> records);

        /**
         * Applies the next record.
         *
         * @param record the record, not null
         */
        void apply(StoredRecord record);

        /** Called when all records up to the end of the stream have been applied. */
        default void caughtUp() {}
    }

    /**
     * How often the stream is read.
     *
     * @param waitMillis how long the store may wait for a record, in milliseconds; on a stream
     *     without new records the fold's proof of being current gets as old as this
     * @param pauseMillis the pause after an answer, in milliseconds; it reduces the calls for a
     *     busy stream
     */
    public record Pace(long waitMillis, long pauseMillis) {}

    /**
     * The pause before a failed read is repeated, in milliseconds. It is a small part of the age at
     * which callers of {@link #proofAgeMillis} treat the fold as outdated.
     */
    private static final long RETRY_MILLIS = 250;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Timers timers;
    private final KeyedStore store;
    private final KeyedStore.Stream stream;
    private final Fold fold;
    private final Clock clock;
    private Pace pace;
    private long nextOffset;
    private boolean loaded;
    private boolean unreachable;
    private boolean running;
    private long currentAsOfMillis = NEVER;

    /**
     * Creates a follower.
     *
     * @param timers the event loop's timers, not null
     * @param store the store, not null
     * @param stream the stream, not null
     * @param fold receives the records, not null
     * @param clock the clock, not null
     * @param pace how often to read, not null
     */
    public StreamFollower(
            Timers timers,
            KeyedStore store,
            KeyedStore.Stream stream,
            Fold fold,
            Clock clock,
            Pace pace) {
        this.timers = timers;
        this.store = store;
        this.stream = stream;
        this.fold = fold;
        this.clock = clock;
        this.pace = pace;
    }

    /** Starts to follow the stream. */
    public void start() {
        running = true;
        load();
    }

    /** Stops after the call in flight. */
    public void stop() {
        running = false;
    }

    /**
     * Changes how often the stream is read.
     *
     * @param newPace the pace from the next call on, not null
     */
    public void setPace(Pace newPace) {
        pace = newPace;
    }

    /**
     * Returns the age of the proof that the fold is current.
     *
     * @return milliseconds since the last read that reached the stream's end was sent; very large
     *     before the first
     */
    public long proofAgeMillis() {
        return clock.monotonicMillis() - currentAsOfMillis;
    }

    /**
     * Returns the position up to which records were applied.
     *
     * @return the position after the last record
     */
    public long position() {
        return nextOffset;
    }

    private void load() {
        loadPage("", new ArrayList<>(), -1, clock.monotonicMillis());
    }

    private void loadPage(
            String afterKey,
            List<StoredRecord> loadedRecords,
            long firstEndOffset,
            long sentMillis) {
        if (!running) {
            return;
        }
        store.newest(stream, afterKey)
                .subscribe()
                .with(
                        page -> pageRead(page, loadedRecords, firstEndOffset, sentMillis),
                        failure -> readFailed(failure, this::load));
    }

    /**
     * Handles a page of the newest records. Pages are read at different times, so the records that
     * follow are read from the end of the stream as of the first page. {@code firstEndOffset} is
     * that end, -1 if this is the first page.
     */
    private void pageRead(
            NewestPage page,
            List<StoredRecord> loadedRecords,
            long firstEndOffset,
            long sentMillis) {
        long endOffset = firstEndOffset < 0 ? page.end() : firstEndOffset;
        loadedRecords.addAll(page.records());
        if (!page.isLast() && !page.records().isEmpty()) {
            String lastKey = page.records().get(page.records().size() - 1).key();
            loadPage(lastKey, loadedRecords, endOffset, sentMillis);
            return;
        }
        EventLog.of(NodeEvent.STORE_RELOADED)
                .with("stream", stream)
                .with("records", loadedRecords.size())
                .with("position", endOffset)
                .write();
        fold.replace(loadedRecords);
        nextOffset = endOffset;
        loaded = true;
        readTail(0);
    }

    private void read() {
        readTail(pace.waitMillis());
    }

    private void readTail(long waitMillis) {
        if (!running) {
            return;
        }
        long sentMillis = clock.monotonicMillis();
        Uni<Tail> call = store.read(stream, nextOffset, waitMillis);
        call.subscribe()
                .with(
                        tail -> tailRead(tail, sentMillis),
                        failure ->
                                readFailed(
                                        failure,
                                        failure instanceof ExpiredException
                                                ? this::load
                                                : this::read));
    }

    private void tailRead(Tail tail, long sentMillis) {
        for (StoredRecord record : tail.records()) {
            if (record.offset() >= nextOffset) {
                nextOffset = record.offset() + 1;
                fold.apply(record);
            }
        }
        if (nextOffset >= tail.end()) {
            currentAsOfMillis = Math.max(currentAsOfMillis, sentMillis);
            readSucceeded();
            fold.caughtUp();
            pause(pace.pauseMillis(), this::read);
        } else {
            read();
        }
    }

    private void readFailed(Throwable failure, Runnable retry) {
        if (!unreachable) {
            unreachable = true;
            EventLog.of(NodeEvent.STORE_LOST)
                    .with("stream", stream)
                    .with("proofAgeMillis", loaded ? proofAgeMillis() : -1)
                    .with("cause", failure.getMessage())
                    .write();
        }
        pause(RETRY_MILLIS, retry);
    }

    private void readSucceeded() {
        if (unreachable) {
            unreachable = false;
            EventLog.of(NodeEvent.STORE_REGAINED)
                    .with("stream", stream)
                    .with("position", nextOffset)
                    .write();
        }
    }

    private void pause(long millis, Runnable task) {
        if (millis <= 0) {
            task.run();
        } else {
            timers.after(millis, () -> task.run());
        }
    }
}
