package io.cardamomshelf.node.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.node.FakeStore;
import io.cardamomshelf.node.FakeStore.Fault;
import io.cardamomshelf.node.VirtualTime;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.StoredRecord;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests a follower's proof that its fold is current, and which records it applies to the fold. */
class StreamFollowerTest {

    private static final String CAUSES_ERROR = "x";

    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);
    private final List<String> appliedKeys = new ArrayList<>();
    private final StreamFollower follower =
            new StreamFollower(
                    time,
                    store,
                    Stream.JOBS,
                    new StreamFollower.Fold() {
                        @Override
                        public void replace(List<StoredRecord> records) {
                            appliedKeys.clear();
                            records.forEach(this::apply);
                        }

                        @Override
                        public void apply(StoredRecord record) {
                            if (record.key().equals(CAUSES_ERROR)) {
                                throw new IllegalStateException("a record that the fold can't use");
                            }
                            appliedKeys.add(record.key());
                        }
                    },
                    time,
                    new StreamFollower.Pace(1_000, 0));

    private void write(String key) {
        store.write(Stream.JOBS, StoredRecord.of(key, "x".getBytes(StandardCharsets.UTF_8)));
    }

    @Nested
    class Proof {

        @Test
        void isFreshOnceTheNewestRecordsAreRead() {
            write("a");
            follower.start();
            time.advance(30);
            assertTrue(follower.proofAgeMillis() < 50, "age " + follower.proofAgeMillis());
        }

        @Test
        void agesWhileTheStoreIsUnreachable() {
            follower.start();
            time.advance(500);
            store.fault = Fault.REFUSING;
            time.advance(5_000);
            assertTrue(follower.proofAgeMillis() >= 4_900);
            store.fault = Fault.NONE;
            time.advance(600);
            assertTrue(follower.proofAgeMillis() < 600);
        }
    }

    /** The process is suspended, which its monotonic clock doesn't show. */
    @Nested
    class Suspension {

        private static final long SUSPENDED_MILLIS = 5_000;

        @Test
        void agesTheProof() {
            follower.start();
            time.advance(500);
            time.suspend(SUSPENDED_MILLIS);
            assertTrue(follower.proofAgeMillis() >= SUSPENDED_MILLIS);
        }

        @Test
        void isNotHiddenByAnAnswerFromBefore() {
            follower.start();
            time.advance(50);
            time.suspend(SUSPENDED_MILLIS);
            time.advance(60);
            assertTrue(follower.proofAgeMillis() >= SUSPENDED_MILLIS);
        }

        @Test
        void isEndedByTheNextRead() {
            follower.start();
            time.advance(500);
            time.suspend(SUSPENDED_MILLIS);
            follower.renewProof();
            time.advance(10);
            assertTrue(follower.proofAgeMillis() < 50, "age " + follower.proofAgeMillis());
        }
    }

    @Nested
    class Records {

        @Test
        void areAppliedAfterOneThatCausesAnError() {
            follower.start();
            time.advance(200);
            write("a");
            write(CAUSES_ERROR);
            write("c");
            time.advance(1_500);
            write("d");
            time.advance(1_500);
            assertEquals(List.of("a", "c", "d"), appliedKeys);
            assertTrue(follower.proofAgeMillis() < 200);
        }

        @Test
        void areAppliedOnceAndInOrder() {
            write("a");
            follower.start();
            time.advance(200);
            write("b");
            write("c");
            time.advance(1_500);
            assertEquals(List.of("a", "b", "c"), appliedKeys);
            assertEquals(3, follower.position());
        }

        @Test
        void areReloadedAfterAGap() {
            follower.start();
            time.advance(200);
            store.fault = Fault.REFUSING;
            time.advance(1_500);
            write("a");
            write("b");
            store.dropHistory(Stream.JOBS);
            store.fault = Fault.NONE;
            time.advance(1_500);
            assertEquals(List.of("a", "b"), appliedKeys);
        }
    }

    @Nested
    class OverdueRead {

        /** Guards against a view that stays outdated for as long as one answer is awaited. */
        @Test
        void isFollowedByAnotherOne() {
            store.hangsNextRead = true;
            follower.start();
            write("a");
            time.advance(6_000);
            assertEquals(List.of("a"), appliedKeys);
            assertTrue(follower.proofAgeMillis() < 4_000, "age " + follower.proofAgeMillis());
        }
    }

    /** Reads that answer a call from all that was stored before it. */
    @Nested
    class CatchUp {

        private final List<Boolean> results = new ArrayList<>();

        private void catchUp() {
            follower.catchUp(500).subscribe().with(results::add);
        }

        @BeforeEach
        void startOnAQuietStream() {
            store.waitShare = 1;
            follower.start();
            time.advance(100);
        }

        @Test
        void appliesWhatIsStoredWhileTheRegularReadIsInFlight() {
            write("a");
            write("b");
            catchUp();
            time.advance(10);
            assertEquals(List.of(true), results);
            assertEquals(List.of("a", "b"), appliedKeys);
            time.advance(2_000);
            assertEquals(List.of("a", "b"), appliedKeys);
        }

        @Test
        void servesCallsDuringAReadByTheNextOne() {
            catchUp();
            time.advance(2);
            write("a");
            catchUp();
            catchUp();
            time.advance(3);
            assertEquals(List.of(true), results);
            time.advance(10);
            assertEquals(List.of(true, true, true), results);
            assertEquals(List.of("a"), appliedKeys);
        }

        @Test
        void failsWhileTheStoreIsUnreachable() {
            store.fault = Fault.REFUSING;
            catchUp();
            time.advance(10);
            assertEquals(List.of(false), results);
        }

        @Test
        void failsAfterItsTimeout() {
            store.readMillis = 1_000;
            catchUp();
            time.advance(499);
            assertEquals(List.of(), results);
            time.advance(1);
            assertEquals(List.of(false), results);
        }

        @Test
        void failsBeforeTheNewestRecordsAreLoaded() {
            StreamFollower notStarted =
                    new StreamFollower(
                            time,
                            store,
                            Stream.JOBS,
                            new StreamFollower.Fold() {
                                @Override
                                public void replace(List<StoredRecord> records) {}

                                @Override
                                public void apply(StoredRecord record) {}
                            },
                            time,
                            new StreamFollower.Pace(1_000, 0));
            notStarted.catchUp(500).subscribe().with(results::add);
            assertEquals(List.of(false), results);
        }
    }
}
