package io.cardamomshelf.node.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.node.FakeStore;
import io.cardamomshelf.node.FakeStore.Fault;
import io.cardamomshelf.node.VirtualTime;
import io.cardamomshelf.node.port.AppendOutcome;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.StoredRecord;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** What a caller may be told for each thing that the store does. */
class CallerAppendTest {

    private static final long CALLER_MILLIS = 2_800;

    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);
    private final AtomicReference<AppendOutcome> outcome = new AtomicReference<>();

    private boolean reachable = true;

    private void append() {
        new CallerAppend(time, store, time, () -> reachable)
                .append(StoredRecord.of("a:1", new byte[] {1}), time.monotonicMillis() + CALLER_MILLIS)
                .subscribe()
                .with(outcome::set);
    }

    @Nested
    class AStoreThat {

        @Test
        void answersMakesASuccess() {
            append();
            time.advance(20);
            assertInstanceOf(AppendOutcome.Stored.class, outcome.get());
        }

        @Test
        void refusesIsGivenUpSoonSoThatTheCallerCanGoElsewhere() {
            store.fault = Fault.REFUSING;
            append();
            time.advance(700);
            assertInstanceOf(AppendOutcome.Refused.class, outcome.get());
            assertEquals(0, store.records(Stream.JOBS).size());
        }

        @Test
        void refusesForAMomentIsTriedAgain() {
            store.fault = Fault.REFUSING;
            append();
            time.advance(200);
            store.fault = Fault.NONE;
            time.advance(300);
            assertInstanceOf(AppendOutcome.Stored.class, outcome.get());
        }

        @Test
        void losesAnswersIsToldAsUnknown() {
            store.fault = Fault.LOSING_ANSWERS;
            append();
            time.advance(CALLER_MILLIS + 10);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
            assertTrue(store.records(Stream.JOBS).size() > 0);
        }

        @Test
        void firstLosesAnAnswerAndThenRefusesIsNeverToldAsRefused() {
            store.fault = Fault.LOSING_ANSWERS;
            append();
            time.advance(100);
            store.fault = Fault.REFUSING;
            time.advance(CALLER_MILLIS);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
        }

        @Test
        void isCutOffIsGivenUpSoonSoThatTheCallerCanGoElsewhere() {
            store.fault = Fault.UNRESPONSIVE;
            reachable = false;
            append();
            time.advance(1_000);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
        }

        @Test
        void doesItLateIsToldAsUnknown() {
            store.fault = Fault.DELAYED;
            append();
            time.advance(CALLER_MILLIS + 10);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
        }
    }
}
