package io.cardamomshelf.node.store;

import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.port.AppendOutcome;
import io.cardamomshelf.node.port.KeyedStore;
import io.cardamomshelf.node.port.KeyedStore.Writer;
import io.cardamomshelf.node.port.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The elected scheduler's appends: one at a time, in order, each repeated until its fate is known.
 *
 * <p>Use: {@code log.append(records, whenStored)}. What is given while an append is under way goes
 * into the next one. A repeat carries the same sequence number, so it is stored once.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class SchedulerLog {

    /** How long to wait for the store's answer, in milliseconds: many times its usual one. */
    private static final long TIMEOUT_MILLIS = 1_500;

    /** The pause before an append is repeated, in milliseconds. */
    private static final long RETRY_MILLIS = 150;

    private final Timers timers;
    private final KeyedStore store;
    private final long epoch;
    private final Runnable deposed;
    private long sequence;
    private List<StoredRecord> queued = new ArrayList<>();
    private List<Runnable> queuedCallbacks = new ArrayList<>();
    private boolean busy;
    private boolean closed;

    /**
     * Creates a log.
     *
     * @param timers the event loop's timers, not null
     * @param store the store, not null
     * @param epoch the scheduler's epoch
     * @param firstSequence the number of its first append
     * @param deposed called once if another scheduler has taken over, not null
     */
    public SchedulerLog(
            Timers timers, KeyedStore store, long epoch, long firstSequence, Runnable deposed) {
        this.timers = timers;
        this.store = store;
        this.epoch = epoch;
        this.sequence = firstSequence;
        this.deposed = deposed;
    }

    /**
     * Appends records after all that were given before.
     *
     * @param records the records, not null; may be empty, to be told when earlier ones are stored
     * @param whenStored called when all up to here are stored, not null
     */
    public void append(List<StoredRecord> records, Runnable whenStored) {
        if (closed) {
            return;
        }
        queued.addAll(records);
        queuedCallbacks.add(whenStored);
        if (!busy) {
            next();
        }
    }

    /** Drops what wasn't sent yet; an append under way isn't repeated. */
    public void close() {
        closed = true;
        queued = new ArrayList<>();
        queuedCallbacks = new ArrayList<>();
    }

    private void next() {
        List<StoredRecord> records = queued;
        List<Runnable> callbacks = queuedCallbacks;
        queued = new ArrayList<>();
        queuedCallbacks = new ArrayList<>();
        if (records.isEmpty()) {
            callbacks.forEach(Runnable::run);
            return;
        }
        busy = true;
        send(records, callbacks);
    }

    private void send(List<StoredRecord> records, List<Runnable> callbacks) {
        if (closed) {
            return;
        }
        store.append(records, Optional.of(new Writer(epoch, sequence)), TIMEOUT_MILLIS)
                .subscribe()
                .with(outcome -> take(outcome, records, callbacks));
    }

    private void take(AppendOutcome outcome, List<StoredRecord> records, List<Runnable> callbacks) {
        if (closed) {
            return;
        }
        if (outcome instanceof AppendOutcome.Stored) {
            sequence++;
            busy = false;
            callbacks.forEach(Runnable::run);
            if (!busy && !(queued.isEmpty() && queuedCallbacks.isEmpty())) {
                next();
            }
        } else if (outcome instanceof AppendOutcome.Deposed) {
            close();
            deposed.run();
        } else {
            EventLog.of(NodeEvent.APPEND_FAILED)
                    .with("writer", "scheduler")
                    .with("epoch", epoch)
                    .with("sequence", sequence)
                    .with("outcome", outcome)
                    .write();
            timers.after(RETRY_MILLIS, () -> send(records, callbacks));
        }
    }
}
