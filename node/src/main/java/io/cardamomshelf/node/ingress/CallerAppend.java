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
 * Appends a caller's record and repeats it until it is stored or the caller's time is up.
 *
 * <p>A repeat has the same key and content, so storing it twice does no harm. The final outcome is
 * "refused" only if every single attempt was. A machine that has lost its path to the store answers
 * soon, so that the caller can go to another one while it has time.
 */
final class CallerAppend {

    /** How long one attempt may take, in milliseconds: many times the store's usual answer. */
    private static final long ATTEMPT_MILLIS = 800;

    /** The pause between attempts, in milliseconds. */
    private static final long RETRY_MILLIS = 150;

    /**
     * A store that refuses for so long is down, and another machine may reach it, in milliseconds.
     */
    private static final long REFUSED_MILLIS = 500;

    private final Timers timers;
    private final KeyedStore store;
    private final Clock clock;
    private final BooleanSupplier reachable;

    /** The last argument tells whether reads of the store have been answered lately. */
    CallerAppend(Timers timers, KeyedStore store, Clock clock, BooleanSupplier reachable) {
        this.timers = timers;
        this.store = store;
        this.clock = clock;
        this.reachable = reachable;
    }

    Uni<AppendOutcome> append(StoredRecord record, long untilMillis) {
        long startMillis = clock.monotonicMillis();
        return Uni.createFrom()
                .emitter(emitter -> attempt(record, startMillis, untilMillis, false, emitter));
    }

    private void attempt(
            StoredRecord record,
            long startMillis,
            long untilMillis,
            boolean mayBeStored,
            UniEmitter<? super AppendOutcome> emitter) {
        long left = untilMillis - clock.monotonicMillis();
        if (left <= 0) {
            emitter.complete(outcome(mayBeStored));
            return;
        }
        store.append(List.of(record), Optional.empty(), Math.min(left, ATTEMPT_MILLIS))
                .subscribe()
                .with(
                        outcome -> {
                            if (outcome instanceof AppendOutcome.Stored) {
                                emitter.complete(outcome);
                                return;
                            }
                            log(record, outcome);
                            boolean unknown =
                                    mayBeStored || outcome instanceof AppendOutcome.Unknown;
                            again(record, startMillis, untilMillis, unknown, emitter);
                        });
    }

    private void again(
            StoredRecord record,
            long startMillis,
            long untilMillis,
            boolean mayBeStored,
            UniEmitter<? super AppendOutcome> emitter) {
        long next = clock.monotonicMillis() + RETRY_MILLIS;
        boolean refusedForLong = !mayBeStored && next - startMillis > REFUSED_MILLIS;
        if (next >= untilMillis || refusedForLong || !reachable.getAsBoolean()) {
            emitter.complete(outcome(mayBeStored));
            return;
        }
        timers.after(
                RETRY_MILLIS,
                () -> attempt(record, startMillis, untilMillis, mayBeStored, emitter));
    }

    private static AppendOutcome outcome(boolean mayBeStored) {
        return mayBeStored
                ? new AppendOutcome.Unknown("the caller's time is up")
                : new AppendOutcome.Refused("the store took none of the attempts");
    }

    private static void log(StoredRecord record, AppendOutcome outcome) {
        EventLog.of(NodeEvent.APPEND_FAILED)
                .with("writer", "caller")
                .with("key", record.key())
                .with("outcome", outcome)
                .write();
    }
}
