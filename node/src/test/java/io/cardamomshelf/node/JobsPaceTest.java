package io.cardamomshelf.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.store.StreamFollower;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests how old the proof of the jobs' stream becomes while nothing is stored. */
class JobsPaceTest {

    /** The age from which an instance refuses submissions, as the store seems unreachable. */
    private static final long UNREACHABLE_MILLIS = 2_000;

    private static final long OBSERVED_MILLIS = 20_000;

    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);

    private long oldestProofMillis(StreamFollower.Pace pace) {
        store.waitShare = 1;
        store.readMillis = 150;
        StreamFollower follower =
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
                        pace);
        follower.start();
        time.advance(1_000);
        long oldestMillis = 0;
        for (int i = 0; i < OBSERVED_MILLIS; i++) {
            time.advance(1);
            oldestMillis = Math.max(oldestMillis, follower.proofAgeMillis());
        }
        return oldestMillis;
    }

    @Nested
    class IdleStream {

        @Test
        void doesNotMakeTheStoreSeemUnreachable() {
            long oldestMillis = oldestProofMillis(Node.JOBS_PACE);
            assertTrue(oldestMillis < UNREACHABLE_MILLIS, "oldest " + oldestMillis);
        }

        @Test
        void doesNotMakeTheStoreSeemUnreachableToTheScheduler() {
            long oldestMillis = oldestProofMillis(Node.JOBS_PACE_LEADING);
            assertTrue(oldestMillis < UNREACHABLE_MILLIS, "oldest " + oldestMillis);
        }
    }
}
