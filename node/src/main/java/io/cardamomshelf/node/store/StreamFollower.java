package io.cardamomshelf.node.store;

import io.cardamomshelf.core.schedule.ClockReading;
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
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

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

    /**
     * How long after the requested wait an answer is overdue, in milliseconds. The store's client
     * gives up an answer that has stopped before that, but not one that arrives slowly.
     */
    private static final long OVERDUE_MILLIS = 2_000;

    private static final long OVERDUE_CHECK_MILLIS = 500;

    private static final long NO_ANSWER_DUE = Long.MAX_VALUE;

    /** The age of a fold that was never current: longer than the lifetime of any process. */
    private static final long NEVER_CURRENT_AGE_MILLIS = Long.MAX_VALUE / 2;

    private static final long UNKNOWN_END = -1;

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

    /** When the answer to the regular read in flight is overdue, on the monotonic clock. */
    private long overdueMillis = NO_ANSWER_DUE;

    /** When the last read that reached the end was sent; null before the first. */
    private ClockReading currentAsOf;

    /** The calls of {@code catchUp} that the next read beside the regular ones serves. */
    private final List<UniEmitter<? super Boolean>> awaitingRead = new ArrayList<>();

    private boolean catchingUp;

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
        timers.every(OVERDUE_CHECK_MILLIS, this::readBesideOverdue);
        load();
    }

    /**
     * Reads beside a regular read whose answer is overdue. Otherwise the fold would stay outdated
     * for as long as that answer takes, and nothing would show why.
     */
    private void readBesideOverdue() {
        long nowMillis = clock.monotonicMillis();
        if (!running || nowMillis < overdueMillis) {
            return;
        }
        overdueMillis = nowMillis + OVERDUE_MILLIS;
        EventLog.of(NodeEvent.STORE_READ_OVERDUE)
                .with("stream", stream)
                .with("position", nextOffset)
                .with("proofAgeMillis", loaded ? proofAgeMillis() : -1)
                .write();
        renewProof();
    }

    /** Sends a regular read; {@code answered} and {@code failed} are called once it has ended. */
    private <T> void awaitAnswer(
            Uni<T> call, long waitMillis, Consumer<T> answered, Consumer<Throwable> failed) {
        overdueMillis = clock.monotonicMillis() + waitMillis + OVERDUE_MILLIS;
        call.onTermination()
                .invoke(() -> overdueMillis = NO_ANSWER_DUE)
                .subscribe()
                .with(answered, failed);
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
     * Returns the age of the proof that the fold is current. While the process is suspended, the
     * proof ages too.
     *
     * @return the most milliseconds that may have passed since the last read that reached the
     *     stream's end was sent; very large before the first
     */
    public long proofAgeMillis() {
        return currentAsOf == null
                ? NEVER_CURRENT_AGE_MILLIS
                : clock.now().maxMillisSince(currentAsOf);
    }

    /**
     * Renews the proof with a read that doesn't wait for records, beside the one in flight. Without
     * it, the proof of a stream without new records would stay outdated for as long as that one
     * waits after the clocks have jumped.
     */
    public void renewProof() {
        if (!running || !loaded) {
            return;
        }
        ClockReading sent = clock.now();
        store.read(stream, nextOffset, 0)
                .subscribe()
                .with(tail -> applyTail(tail, sent), this::reportUnreachable);
    }

    /**
     * Reads the stream up to its current end, beside the regular reads. Calls that arrive while
     * such a read is in flight share the next one, so there is at most one at a time.
     *
     * @param timeoutMillis the maximum time to wait, in milliseconds
     * @return true once the fold has every record that was stored before this call, false if the
     *     stream couldn't be read in time; never fails
     */
    public Uni<Boolean> catchUp(long timeoutMillis) {
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            awaitingRead.add(emitter);
                            timers.after(
                                    timeoutMillis,
                                    () -> {
                                        awaitingRead.remove(emitter);
                                        emitter.complete(false);
                                    });
                            if (!catchingUp) {
                                catchUpAwaiting();
                            }
                        });
    }

    /** Starts a read for the waiting calls, if there are any. */
    private void catchUpAwaiting() {
        catchingUp = !awaitingRead.isEmpty();
        if (!catchingUp) {
            return;
        }
        List<UniEmitter<? super Boolean>> served = List.copyOf(awaitingRead);
        awaitingRead.clear();
        if (running && loaded) {
            readUpTo(UNKNOWN_END, served);
        } else {
            completeCatchUp(served, false);
        }
    }

    /** Reads until the records before an offset are applied; the first read tells the offset. */
    private void readUpTo(long endOffset, List<UniEmitter<? super Boolean>> served) {
        ClockReading sent = clock.now();
        store.read(stream, nextOffset, 0)
                .subscribe()
                .with(
                        tail -> {
                            applyTail(tail, sent);
                            long target = endOffset == UNKNOWN_END ? tail.end() : endOffset;
                            if (nextOffset < target && running) {
                                readUpTo(target, served);
                            } else {
                                completeCatchUp(served, nextOffset >= target);
                            }
                        },
                        failure -> {
                            reportUnreachable(failure);
                            completeCatchUp(served, false);
                        });
    }

    private void completeCatchUp(List<UniEmitter<? super Boolean>> served, boolean caughtUp) {
        served.forEach(emitter -> emitter.complete(caughtUp));
        catchUpAwaiting();
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
        loadPage("", new ArrayList<>(), -1);
    }

    private void loadPage(String afterKey, List<StoredRecord> loadedRecords, long firstEndOffset) {
        if (!running) {
            return;
        }
        awaitAnswer(
                store.newest(stream, afterKey),
                0,
                page -> pageRead(page, loadedRecords, firstEndOffset),
                failure -> readFailed(failure, this::load));
    }

    /**
     * Handles a page of the newest records. Pages are read at different times, so the records that
     * follow are read from the end of the stream as of the first page. {@code firstEndOffset} is
     * that end, -1 if this is the first page.
     */
    private void pageRead(NewestPage page, List<StoredRecord> loadedRecords, long firstEndOffset) {
        long endOffset = firstEndOffset < 0 ? page.end() : firstEndOffset;
        loadedRecords.addAll(page.records());
        if (!page.isLast() && !page.records().isEmpty()) {
            String lastKey = page.records().get(page.records().size() - 1).key();
            loadPage(lastKey, loadedRecords, endOffset);
            return;
        }
        EventLog.of(NodeEvent.STORE_RELOADED)
                .with("stream", stream)
                .with("records", loadedRecords.size())
                .with("position", endOffset)
                .write();
        if (!guarded(() -> fold.replace(loadedRecords))) {
            pause(RETRY_MILLIS, this::load);
            return;
        }
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
        ClockReading sent = clock.now();
        awaitAnswer(
                store.read(stream, nextOffset, waitMillis),
                waitMillis,
                tail -> tailRead(tail, sent),
                failure ->
                        readFailed(
                                failure,
                                failure instanceof ExpiredException ? this::load : this::read));
    }

    private void tailRead(Tail tail, ClockReading sent) {
        if (applyTail(tail, sent)) {
            pause(pace.pauseMillis(), this::read);
        } else {
            read();
        }
    }

    /** Applies the records that weren't applied before; returns whether the end is reached. */
    private boolean applyTail(Tail tail, ClockReading sent) {
        for (StoredRecord record : tail.records()) {
            if (record.offset() >= nextOffset) {
                nextOffset = record.offset() + 1;
                guarded(() -> fold.apply(record));
            }
        }
        if (nextOffset < tail.end()) {
            return false;
        }
        if (currentAsOf == null || sent.monotonicMillis() >= currentAsOf.monotonicMillis()) {
            currentAsOf = sent;
        }
        readSucceeded();
        guarded(fold::caughtUp);
        return true;
    }

    /**
     * Calls the fold; returns whether that succeeded. An unexpected error is logged; it must not
     * end the reads, as the process would go on with an outdated state.
     */
    private boolean guarded(Runnable call) {
        try {
            call.run();
            return true;
        } catch (RuntimeException e) {
            EventLog.of(NodeEvent.UNEXPECTED_ERROR)
                    .with("stream", stream)
                    .with("position", nextOffset)
                    .with("cause", e)
                    .write();
            return false;
        }
    }

    private void readFailed(Throwable failure, Runnable retry) {
        reportUnreachable(failure);
        pause(RETRY_MILLIS, retry);
    }

    private void reportUnreachable(Throwable failure) {
        if (!unreachable) {
            unreachable = true;
            EventLog.of(NodeEvent.STORE_LOST)
                    .with("stream", stream)
                    .with("proofAgeMillis", loaded ? proofAgeMillis() : -1)
                    .with("cause", failure.getMessage())
                    .write();
        }
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
