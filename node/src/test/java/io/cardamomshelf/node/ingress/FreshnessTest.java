package io.cardamomshelf.node.ingress;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.node.FakeStore;
import io.cardamomshelf.node.VirtualTime;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.settings.NodeSettings;
import io.cardamomshelf.node.store.StreamFollower;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what a process may still answer after it was suspended. */
class FreshnessTest {

    private static final long REVOKE_MILLIS = 5_000;

    private final VirtualTime time = new VirtualTime();
    private final StreamFollower follower =
            new StreamFollower(
                    time,
                    new FakeStore(time),
                    Stream.OPERATORS,
                    new StreamFollower.Fold() {
                        @Override
                        public void replace(List<StoredRecord> records) {}

                        @Override
                        public void apply(StoredRecord record) {}
                    },
                    time,
                    new StreamFollower.Pace(1_000, 0));
    private final Freshness freshness =
            new Freshness(
                    new NodeSettings.Bounds(REVOKE_MILLIS, 3_000, 6_000, 10_000, 120_000, 0),
                    follower::proofAgeMillis,
                    follower::proofAgeMillis);

    @BeforeEach
    void follow() {
        follower.start();
        time.advance(500);
    }

    /** A key may have been withdrawn, and a job accepted elsewhere, while the process slept. */
    @Nested
    class AfterASuspension {

        @Test
        void keysAreNotAcceptedBeforeTheConfigurationIsReadAgain() {
            assertTrue(freshness.isConfigurationUsable());
            time.suspend(REVOKE_MILLIS);
            assertFalse(freshness.isConfigurationUsable());
            time.advance(500);
            assertTrue(freshness.isConfigurationUsable());
        }

        @Test
        void unknownJobsAreNotReportedAsAbsentBeforeTheJobsAreReadAgain() {
            assertTrue(freshness.isAbsenceProven());
            time.suspend(3_000);
            assertFalse(freshness.isAbsenceProven());
            time.advance(500);
            assertTrue(freshness.isAbsenceProven());
        }
    }
}
