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
                        time.steadyMillis() + CALLER_TIMEOUT_MILLIS)
                .subscribe()
                .with(outcome::set);
    }

    @Nested
    class Outcome {

        @Test
        void isStoredWhenTheStoreAnswers() {
            append();
            time.pass(20);
            assertInstanceOf(AppendOutcome.Stored.class, outcome.get());
        }

        @Test
        void isRefusedEarlyWhenTheStoreKeepsRefusing() {
            store.trouble = Trouble.REFUSING;
            append();
            time.pass(700);
            assertInstanceOf(AppendOutcome.Refused.class, outcome.get());
            assertEquals(0, store.records(Stream.JOBS).size());
        }

        @Test
        void isStoredWhenTheStoreRefusesOnlyBriefly() {
            store.trouble = Trouble.REFUSING;
            append();
            time.pass(200);
            store.trouble = Trouble.NONE;
            time.pass(300);
            assertInstanceOf(AppendOutcome.Stored.class, outcome.get());
        }

        @Test
        void isUnknownWhenTheStoreLosesItsAnswers() {
            store.trouble = Trouble.LOSING_ANSWERS;
            append();
            time.pass(CALLER_TIMEOUT_MILLIS + 10);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
            assertTrue(store.records(Stream.JOBS).size() > 0);
        }

        @Test
        void isUnknownWhenRefusalsFollowALostAnswer() {
            store.trouble = Trouble.LOSING_ANSWERS;
            append();
            time.pass(100);
            store.trouble = Trouble.REFUSING;
            time.pass(CALLER_TIMEOUT_MILLIS);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
        }

        @Test
        void isUnknownEarlyWhenTheStoreIsUnreachable() {
            store.trouble = Trouble.SILENT;
            storeReachable = false;
            append();
            time.pass(1_000);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
        }

        @Test
        void isUnknownWhenTheStoreAppendsLate() {
            store.trouble = Trouble.LATE;
            append();
            time.pass(CALLER_TIMEOUT_MILLIS + 10);
            assertInstanceOf(AppendOutcome.Unknown.class, outcome.get());
        }
    }
}
