package io.cardamomshelf.node.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.node.FakeStore;
import io.cardamomshelf.node.FakeStore.Trouble;
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
                .append(StoredRecord.of("a:1", new byte[] {1}), time.steadyMillis() + CALLER_MILLIS)
                .subscribe()
                .with(outcome::set);
    }

    @Nested
    class AStoreThat {

        @Test
        void answersMakesASuccess() {
            append();
            time.pass(20);
            assertInstanceOf(AppendOutcome.Stored.class, outcome.get());
        }

        @Test
        void refusesIsGivenUpSoonSoThatTheCallerCanGoElsewhere() {
            store.trouble = Trouble.REFUSING;
            append();
            time.pass(700);
            assertInstanceOf(AppendOutcome.Refused.class, outcome.get());
            assertEquals(0, store.records(Stream.JOBS).size());
        }

        @Test
        void refusesForAMomentIsTriedAgain() {
            store.trouble = Trouble.REFUSING;
            append();
            time.pass(200);
            store.trouble = Trouble.NONE;
            time.pass(300);
            assertInstanceOf(AppendOutcome.Stored.class, outcome.get());
        }

        @Test
        void losesAnswersIsToldAsUnknown() {
            store.trouble = Trouble.LOSING_ANSWERS;
            append();
            time.pass(CALLER_MILLIS + 10);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
            assertTrue(store.records(Stream.JOBS).size() > 0);
        }

        @Test
        void firstLosesAnAnswerAndThenRefusesIsNeverToldAsRefused() {
            store.trouble = Trouble.LOSING_ANSWERS;
            append();
            time.pass(100);
            store.trouble = Trouble.REFUSING;
            time.pass(CALLER_MILLIS);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
        }

        @Test
        void isCutOffIsGivenUpSoonSoThatTheCallerCanGoElsewhere() {
            store.trouble = Trouble.SILENT;
            reachable = false;
            append();
            time.pass(1_000);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
        }

        @Test
        void doesItLateIsToldAsUnknown() {
            store.trouble = Trouble.LATE;
            append();
            time.pass(CALLER_MILLIS + 10);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
        }
    }
}
