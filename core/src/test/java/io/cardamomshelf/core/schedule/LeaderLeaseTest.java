package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.WorkerId;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests when a scheduler may grant leases, and when its successor may treat them as lapsed. */
class LeaderLeaseTest {

    private static final WorkerId W1 = WorkerId.of("w1");
    private static final WorkerId W2 = WorkerId.of("w2");
    private static final WorkerId W3 = WorkerId.of("w3");
    private static final Voters ALL = Voters.of(List.of(W1, W2, W3));
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
            assertFalse(leaderLease.mayGrant(at(10_000), () -> Voters.of(List.of(W1, W2))));
        }

        @Test
        void areRefusedUnlessMostOfAllWorkersThatMayBeStoredAnswer() {
            leaderLease.recordWorkerAnswer(W1, at(9_000));
            leaderLease.recordWorkerAnswer(W2, at(9_000));
            Set<WorkerId> stored = ALL.stored();
            assertTrue(leaderLease.mayGrant(at(10_000), () -> new Voters(stored, 3)));
            assertFalse(leaderLease.mayGrant(at(10_000), () -> new Voters(stored, 4)));
        }

        @Test
        void areRefusedOnceTheStoreHasAcceptedNoAppendForLong() {
            for (long millis : new long[] {29_000, 29_900}) {
                leaderLease.recordWorkerAnswer(W1, at(millis));
                leaderLease.recordWorkerAnswer(W2, at(millis));
            }
            assertTrue(leaderLease.mayGrant(at(29_999), () -> ALL));
            assertFalse(leaderLease.mayGrant(at(30_000), () -> ALL));
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
            leaderLease.updateMajority(at(1_000), ALL);
            assertFalse(leaderLease.havePredecessorLeasesLapsed(at(10_000), LEASE_MILLIS));
            leaderLease.recordWorkerAnswer(W2, at(10_000));
            leaderLease.updateMajority(at(10_100), ALL);
            long longestGrantMillis = 2_000 + LeaseClock.worstCaseMillis(LEASE_MILLIS);
            assertFalse(
                    leaderLease.havePredecessorLeasesLapsed(
                            at(10_099 + longestGrantMillis), LEASE_MILLIS));
            assertTrue(
                    leaderLease.havePredecessorLeasesLapsed(
                            at(10_100 + longestGrantMillis), LEASE_MILLIS));
        }

        @Test
        void hasEndedWithoutMostWorkersOnceItCouldNotGrantWithoutTheStore() {
            leaderLease.recordWorkerAnswer(W1, at(1_000));
            leaderLease.updateMajority(at(1_000), ALL);
            leaderLease.updateMajority(at(2_000), ALL);
            long lapsedMillis = 1_000 + 30_000 + LeaseClock.worstCaseMillis(LEASE_MILLIS);
            assertFalse(
                    leaderLease.havePredecessorLeasesLapsed(at(lapsedMillis - 1), LEASE_MILLIS));
            assertTrue(leaderLease.havePredecessorLeasesLapsed(at(lapsedMillis), LEASE_MILLIS));
        }

        @Test
        void hasEndedAtOnceIfItRecordedItsResignation() {
            assertTrue(
                    new LeaderLease(at(0), true).havePredecessorLeasesLapsed(at(0), LEASE_MILLIS));
        }
    }
}
