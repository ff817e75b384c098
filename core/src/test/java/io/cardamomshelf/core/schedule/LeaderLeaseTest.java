package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.WorkerId;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests when a scheduler may grant leases, and when its successor may treat them as lapsed. */
class LeaderLeaseTest {

    private static final WorkerId W1 = WorkerId.of("w1");
    private static final WorkerId W2 = WorkerId.of("w2");
    private static final WorkerId W3 = WorkerId.of("w3");
    private static final List<WorkerId> ALL = List.of(W1, W2, W3);
    private static final long LEASE_MILLIS = 5_000;

    private final LeaderLease leaderLease = new LeaderLease(at(0), false);

    private static ClockReading at(long millis) {
        return new ClockReading(millis, millis);
    }

    @Nested
    class Grants {

        @Test
        void areAllowedWhileTheStoreAcceptsAppends() {
            leaderLease.recordStoredAppend(at(9_000));
            assertTrue(leaderLease.mayGrant(at(10_900), () -> ALL));
            assertFalse(leaderLease.mayGrant(at(11_100), () -> ALL));
        }

        @Test
        void areAllowedWithoutTheStoreWhileMostWorkersAnswer() {
            leaderLease.recordWorkerAnswer(W1, at(9_000));
            assertFalse(leaderLease.mayGrant(at(10_000), () -> ALL));
            leaderLease.recordWorkerAnswer(W2, at(9_500));
            assertTrue(leaderLease.mayGrant(at(10_000), () -> ALL));
            assertFalse(leaderLease.mayGrant(at(11_100), () -> ALL));
        }

        @Test
        void areRefusedIfOnlyHalfOfTheWorkersAnswer() {
            leaderLease.recordWorkerAnswer(W1, at(9_000));
            assertFalse(leaderLease.mayGrant(at(10_000), () -> List.of(W1, W2)));
        }

        @Test
        void areRefusedAfterASuspensionThatTheMonotonicClockMisses() {
            leaderLease.recordStoredAppend(new ClockReading(9_000, 9_000));
            assertFalse(leaderLease.mayGrant(new ClockReading(9_100, 14_000), () -> ALL));
        }

        @Test
        void areStillAllowedAfterTheWallClockIsSetBack() {
            leaderLease.recordStoredAppend(new ClockReading(9_000, 9_000));
            assertTrue(leaderLease.mayGrant(new ClockReading(9_100, 4_000), () -> ALL));
            assertFalse(leaderLease.mayGrant(new ClockReading(11_100, 4_000), () -> ALL));
        }
    }

    @Nested
    class Predecessor {

        @Test
        void hasEndedOnceMostWorkersHaveReportedAndItsLastGrantHasLapsed() {
            leaderLease.recordWorkerAnswer(W1, at(1_000));
            leaderLease.updateMajority(at(1_000), () -> ALL);
            assertFalse(leaderLease.havePredecessorLeasesLapsed(at(60_000), LEASE_MILLIS));
            leaderLease.recordWorkerAnswer(W2, at(60_000));
            leaderLease.updateMajority(at(60_100), () -> ALL);
            long longestGrantMillis = 2_000 + LeaseClock.worstCaseMillis(LEASE_MILLIS);
            assertFalse(
                    leaderLease.havePredecessorLeasesLapsed(
                            at(60_099 + longestGrantMillis), LEASE_MILLIS));
            assertTrue(
                    leaderLease.havePredecessorLeasesLapsed(
                            at(60_100 + longestGrantMillis), LEASE_MILLIS));
        }

        @Test
        void hasEndedAtOnceIfItRecordedItsResignation() {
            assertTrue(
                    new LeaderLease(at(0), true).havePredecessorLeasesLapsed(at(0), LEASE_MILLIS));
        }
    }
}
