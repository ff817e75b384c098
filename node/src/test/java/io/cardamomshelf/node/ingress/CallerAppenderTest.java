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

/** Tests the outcome that a caller gets for each behaviour of the store. */
class CallerAppenderTest {

    private static final long CALLER_TIMEOUT_MILLIS = 2_800;

    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);
    private final AtomicReference<AppendOutcome> outcome = new AtomicReference<>();

    private boolean storeReachable = true;

    private void append() {
        new CallerAppender(time, store, time, () -> storeReachable)
                .append(
                        StoredRecord.of("a:1", new byte[] {1}),
                        time.monotonicMillis() + CALLER_TIMEOUT_MILLIS)
                .subscribe()
                .with(outcome::set);
    }

    @Nested
    class Outcome {

        @Test
        void isStoredWhenTheStoreAnswers() {
            append();
            time.advance(20);
            assertInstanceOf(AppendOutcome.Stored.class, outcome.get());
        }

        @Test
        void isRefusedEarlyWhenTheStoreKeepsRefusing() {
            store.fault = Fault.REFUSING;
            append();
            time.advance(700);
            assertInstanceOf(AppendOutcome.Refused.class, outcome.get());
            assertEquals(0, store.records(Stream.JOBS).size());
        }

        @Test
        void isStoredWhenTheStoreRefusesOnlyBriefly() {
            store.fault = Fault.REFUSING;
            append();
            time.advance(200);
            store.fault = Fault.NONE;
            time.advance(300);
            assertInstanceOf(AppendOutcome.Stored.class, outcome.get());
        }

        @Test
        void isUnknownWhenTheStoreLosesItsAnswers() {
            store.fault = Fault.LOSING_ANSWERS;
            append();
            time.advance(CALLER_TIMEOUT_MILLIS + 10);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
            assertTrue(store.records(Stream.JOBS).size() > 0);
        }

        @Test
        void isUnknownWhenRefusalsFollowALostAnswer() {
            store.fault = Fault.LOSING_ANSWERS;
            append();
            time.advance(100);
            store.fault = Fault.REFUSING;
            time.advance(CALLER_TIMEOUT_MILLIS);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
        }

        @Test
        void isUnknownEarlyWhenTheStoreIsUnreachable() {
            store.fault = Fault.UNRESPONSIVE;
            storeReachable = false;
            append();
            time.advance(1_000);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
        }

        @Test
        void isUnknownWhenTheStoreAppendsLate() {
            store.fault = Fault.DELAYED;
            append();
            time.advance(CALLER_TIMEOUT_MILLIS + 10);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
        }
    }
}
