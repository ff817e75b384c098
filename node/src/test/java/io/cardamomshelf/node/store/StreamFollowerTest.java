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
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests a follower's proof that its fold is current, and which records it applies to the fold. */
class StreamFollowerTest {

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

    @Nested
    class Records {

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
}
