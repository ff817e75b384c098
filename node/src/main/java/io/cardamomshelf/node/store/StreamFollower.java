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
 * Keeps a view of one stream current, and knows how old the proof of that is.
 *
 * <p>Use: {@code follower.start()}; the fold gets the newest record of each key first, then every
 * later record in order. After a gap it gets the newest of each key again.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class StreamFollower {

    /** Takes the records of a stream. */
    public interface Fold {

        /**
         * Takes the newest record of every key; what isn't there is gone.
         *
         * @param records the records, not null
         */
        void replace(List<StoredRecord> records);

        /**
         * Takes the next record.
         *
         * @param record the record, not null
         */
        void apply(StoredRecord record);

        /** Notes that all records up to the end of the stream have been taken. */
        default void caughtUp() {}
    }

    /**
     * How often the stream is read.
     *
     * @param waitMillis how long the store may wait for a record, in milliseconds; the age of the
     *     proof grows up to this on a quiet stream
     * @param pauseMillis the pause after an answer, in milliseconds; collects records of a busy
     *     stream into fewer calls
     */
    public record Pace(long waitMillis, long pauseMillis) {}

    /** The pause before a failed read is tried again, in milliseconds: a few per proof bound. */
    private static final long RETRY_MILLIS = 250;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Timers timers;
    private final KeyedStore store;
    private final KeyedStore.Stream stream;
    private final Fold fold;
    private final Clock clock;
    private Pace pace;
    private long next;
    private boolean loaded;
    private boolean lost;
    private boolean running;
    private long provenMillis = NEVER;

    /**
     * Creates a follower.
     *
     * @param timers the event loop's timers, not null
     * @param store the store, not null
     * @param stream which stream, not null
     * @param fold what takes the records, not null
     * @param clock the time, not null
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

    /** Starts to follow. */
    public void start() {
        running = true;
        load();
    }

    /** Ends after the call that is under way. */
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
     * Returns how old the proof is that the view is current.
     *
     * @return milliseconds since the sending of the last read that reached the stream's end; huge
     *     before the first
     */
    public long proofAgeMillis() {
        return clock.steadyMillis() - provenMillis;
    }

    /**
     * Returns the position up to which records were taken.
     *
     * @return the position after the last one
     */
    public long position() {
        return next;
    }

    private void load() {
        loadPage("", new ArrayList<>(), -1, clock.steadyMillis());
    }

    private void loadPage(String after, List<StoredRecord> soFar, long firstEnd, long askedMillis) {
        if (!running) {
            return;
        }
        store.newest(stream, after)
                .subscribe()
                .with(
                        page -> takePage(page, soFar, firstEnd, askedMillis),
                        failure -> failed(failure, this::load));
    }

    /** Pages are read one after the other, so the tail is read again from before the first. */
    private void takePage(
            NewestPage page, List<StoredRecord> soFar, long firstEnd, long askedMillis) {
        long end = firstEnd < 0 ? page.end() : firstEnd;
        soFar.addAll(page.records());
        if (!page.isLast() && !page.records().isEmpty()) {
            String last = page.records().get(page.records().size() - 1).key();
            loadPage(last, soFar, end, askedMillis);
            return;
        }
        EventLog.of(NodeEvent.STORE_RELOADED)
                .with("stream", stream)
                .with("records", soFar.size())
                .with("position", end)
                .write();
        fold.replace(soFar);
        next = end;
        loaded = true;
        readWaiting(0);
    }

    private void read() {
        readWaiting(pace.waitMillis());
    }

    private void readWaiting(long waitMillis) {
        if (!running) {
            return;
        }
        long askedMillis = clock.steadyMillis();
        Uni<Tail> tail = store.read(stream, next, waitMillis);
        tail.subscribe()
                .with(
                        found -> takeTail(found, askedMillis),
                        failure ->
                                failed(
                                        failure,
                                        failure instanceof ExpiredException
                                                ? this::load
                                                : this::read));
    }

    private void takeTail(Tail tail, long askedMillis) {
        for (StoredRecord record : tail.records()) {
            if (record.offset() >= next) {
                next = record.offset() + 1;
                fold.apply(record);
            }
        }
        if (next >= tail.end()) {
            provenMillis = Math.max(provenMillis, askedMillis);
            regained();
            fold.caughtUp();
            pause(pace.pauseMillis(), this::read);
        } else {
            read();
        }
    }

    private void failed(Throwable failure, Runnable again) {
        if (!lost) {
            lost = true;
            EventLog.of(NodeEvent.STORE_LOST)
                    .with("stream", stream)
                    .with("proofAgeMillis", loaded ? proofAgeMillis() : -1)
                    .with("cause", failure.getMessage())
                    .write();
        }
        pause(RETRY_MILLIS, again);
    }

    private void regained() {
        if (lost) {
            lost = false;
            EventLog.of(NodeEvent.STORE_REGAINED)
                    .with("stream", stream)
                    .with("position", next)
                    .write();
        }
    }

    private void pause(long millis, Runnable then) {
        if (millis <= 0) {
            then.run();
        } else {
            timers.after(millis, () -> then.run());
        }
    }
}
