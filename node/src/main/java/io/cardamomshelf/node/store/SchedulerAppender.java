package io.cardamomshelf.node.store;

import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.port.AppendOutcome;
import io.cardamomshelf.node.port.KeyedStore;
import io.cardamomshelf.node.port.KeyedStore.Writer;
import io.cardamomshelf.node.port.StoredRecord;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Appends the elected scheduler's records: one append at a time, in order, each repeated until it
 * is stored or the scheduler is deposed.
 *
 * <p>Use: the scheduler calls {@code append(records, whenStored)}. Records that are added while an
 * append is in flight are sent together in the next ones, as many as the store takes at once. A
 * repeat has the same sequence number, so that the store doesn't store it twice. Its answer may be
 * lost, so {@code recordRead} confirms an append, too: no other process stores a scheduler's
 * records during a term.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class SchedulerAppender {

    /** The timeout of an append, in milliseconds: many times the usual duration. */
    private static final long TIMEOUT_MILLIS = 1_500;

    /** The pause before an append is repeated, in milliseconds. */
    private static final long RETRY_MILLIS = 150;

    /** A record to append, or a callback for when all records before it are stored. */
    private record Queued(Optional<StoredRecord> record, Runnable whenStored) {}

    private final Timers timers;
    private final KeyedStore store;
    private final long epoch;
    private final Runnable onDeposed;
    private long sequence;
    private final Deque<Queued> queue = new ArrayDeque<>();
    private List<StoredRecord> sent = List.of();
    private List<Runnable> sentCallbacks = List.of();
    private boolean inFlight;
    private boolean closed;

    /** An offset that no record of a confirmed append has, nor any after it. */
    private long confirmedEndOffset;

    /**
     * Creates an appender.
     *
     * @param timers the event loop's timers, not null
     * @param store the store, not null
     * @param epoch the scheduler's epoch
     * @param firstSequence the sequence number of the first append
     * @param onDeposed called once if the store refuses the epoch, not null
     */
    public SchedulerAppender(
            Timers timers, KeyedStore store, long epoch, long firstSequence, Runnable onDeposed) {
        this.timers = timers;
        this.store = store;
        this.epoch = epoch;
        this.sequence = firstSequence;
        this.onDeposed = onDeposed;
    }

    /**
     * Appends records after all earlier ones.
     *
     * @param records the records, not null; may be empty, to be notified when earlier ones are
     *     stored
     * @param whenStored called once these and all earlier records are stored, not null
     */
    public void append(List<StoredRecord> records, Runnable whenStored) {
        if (closed) {
            return;
        }
        records.forEach(record -> queue.add(new Queued(Optional.of(record), () -> {})));
        queue.add(new Queued(Optional.empty(), whenStored));
        if (!inFlight) {
            sendQueued();
        }
    }

    /** Discards unsent records and their callbacks. An append in flight isn't repeated. */
    public void close() {
        closed = true;
        queue.clear();
    }

    private void sendQueued() {
        List<StoredRecord> records = new ArrayList<>();
        List<Runnable> callbacks = new ArrayList<>();
        takeBatch(records, callbacks);
        if (records.isEmpty()) {
            callbacks.forEach(Runnable::run);
            return;
        }
        inFlight = true;
        sent = records;
        sentCallbacks = callbacks;
        send(sequence);
    }

    /** Takes the records that the store takes at once, at least one, and their callbacks. */
    private void takeBatch(List<StoredRecord> records, List<Runnable> callbacks) {
        long bytes = 0;
        while (!queue.isEmpty()) {
            Optional<StoredRecord> next = queue.peek().record();
            bytes += next.map(StoredRecord::sizeBytes).orElse(0);
            if (bytes > store.limits().appendBytes() && next.isPresent() && !records.isEmpty()) {
                return;
            }
            next.ifPresent(records::add);
            callbacks.add(queue.remove().whenStored());
        }
    }

    /**
     * Confirms the append in flight, if this record of a scheduler is one of it.
     *
     * @param offset the record's offset in the jobs' stream
     */
    public void recordRead(long offset) {
        if (inFlight && !closed && offset >= confirmedEndOffset) {
            confirmSent(offset + sent.size());
        }
    }

    private void send(long sentSequence) {
        if (closed || sentSequence != sequence) {
            return;
        }
        store.append(sent, Optional.of(new Writer(epoch, sequence)), TIMEOUT_MILLIS)
                .subscribe()
                .with(outcome -> handleOutcome(outcome, sentSequence));
    }

    /** Handles an answer, unless the append has been confirmed by its records already. */
    private void handleOutcome(AppendOutcome outcome, long sentSequence) {
        if (closed || sentSequence != sequence) {
            return;
        }
        if (outcome instanceof AppendOutcome.Stored stored) {
            confirmSent(stored.offset() + sent.size());
        } else if (outcome instanceof AppendOutcome.Deposed) {
            close();
            onDeposed.run();
        } else {
            EventLog.of(NodeEvent.APPEND_FAILED)
                    .with("writer", "scheduler")
                    .with("epoch", epoch)
                    .with("sequence", sequence)
                    .with("outcome", outcome)
                    .write();
            timers.after(RETRY_MILLIS, () -> send(sentSequence));
        }
    }

    private void confirmSent(long endOffset) {
        List<Runnable> callbacks = sentCallbacks;
        sequence++;
        confirmedEndOffset = Math.max(confirmedEndOffset, endOffset);
        inFlight = false;
        callbacks.forEach(Runnable::run);
        if (!inFlight && !queue.isEmpty()) {
            sendQueued();
        }
    }
}
