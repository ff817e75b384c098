package io.cardamomshelf.node.ingress;

import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.port.AppendOutcome;
import io.cardamomshelf.node.port.KeyedStore;
import io.cardamomshelf.node.port.StoredRecord;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Appends a caller's record to the store, with retries until it is stored or the call's deadline
 * has passed.
 *
 * <p>Use: {@code appender.append(record, deadlineMillis)}, called by {@link JobService}.
 *
 * <p>A retry has the same key and content, so storing it twice does no harm. The final outcome is
 * {@link AppendOutcome.Refused} only if every attempt was refused: after an attempt without an
 * answer the record may be stored. Retries end early when this instance can't reach the store, so
 * that the caller has time left to call another instance.
 */
final class CallerAppender {

    /** The timeout of one attempt, in milliseconds: many times the store's usual latency. */
    private static final long ATTEMPT_TIMEOUT_MILLIS = 800;

    /** The delay between attempts, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 150;

    /**
     * How long refusals are retried, in milliseconds. A store that refuses for longer is down as
     * seen from here, and another instance may still reach it.
     */
    private static final long MAX_REFUSED_MILLIS = 500;

    private final Timers timers;
    private final KeyedStore store;
    private final Clock clock;
    private final BooleanSupplier storeReachable;

    /** Creates an appender; {@code storeReachable} is whether reads succeeded recently. */
    CallerAppender(Timers timers, KeyedStore store, Clock clock, BooleanSupplier storeReachable) {
        this.timers = timers;
        this.store = store;
        this.clock = clock;
        this.storeReachable = storeReachable;
    }

    Uni<AppendOutcome> append(StoredRecord record, long deadlineMillis) {
        long startMillis = clock.monotonicMillis();
        return Uni.createFrom()
                .emitter(emitter -> attempt(record, startMillis, deadlineMillis, false, emitter));
    }

    private void attempt(
            StoredRecord record,
            long startMillis,
            long deadlineMillis,
            boolean mayBeStored,
            UniEmitter<? super AppendOutcome> emitter) {
        long remainingMillis = deadlineMillis - clock.monotonicMillis();
        if (remainingMillis <= 0) {
            emitter.complete(finalOutcome(mayBeStored));
            return;
        }
        store.append(
                        List.of(record),
                        Optional.empty(),
                        Math.min(remainingMillis, ATTEMPT_TIMEOUT_MILLIS))
                .subscribe()
                .with(
                        outcome -> {
                            if (outcome instanceof AppendOutcome.Stored) {
                                emitter.complete(outcome);
                                return;
                            }
                            logFailure(record, outcome);
                            boolean mayBeStoredNow =
                                    mayBeStored || outcome instanceof AppendOutcome.Unknown;
                            retryOrComplete(
                                    record, startMillis, deadlineMillis, mayBeStoredNow, emitter);
                        });
    }

    private void retryOrComplete(
            StoredRecord record,
            long startMillis,
            long deadlineMillis,
            boolean mayBeStored,
            UniEmitter<? super AppendOutcome> emitter) {
        long nextAttemptMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
        boolean refusedTooLong =
                !mayBeStored && nextAttemptMillis - startMillis > MAX_REFUSED_MILLIS;
        if (nextAttemptMillis >= deadlineMillis
                || refusedTooLong
                || !storeReachable.getAsBoolean()) {
            emitter.complete(finalOutcome(mayBeStored));
            return;
        }
        timers.after(
                RETRY_DELAY_MILLIS,
                () -> attempt(record, startMillis, deadlineMillis, mayBeStored, emitter));
    }

    private static AppendOutcome finalOutcome(boolean mayBeStored) {
        return mayBeStored
                ? new AppendOutcome.Unknown(
                        "the store confirmed no append before the retries ended")
                : new AppendOutcome.Refused("the store took none of the attempts");
    }

    private static void logFailure(StoredRecord record, AppendOutcome outcome) {
        EventLog.of(NodeEvent.APPEND_FAILED)
                .with("writer", "caller")
                .with("key", record.key())
                .with("outcome", outcome)
                .write();
    }
}
