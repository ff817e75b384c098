package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.WorkerId;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** When a scheduler may grant leases, and when its successor may count them as lapsed. */
class LeaderLeaseTest {

    private static final WorkerId W1 = WorkerId.of("w1");
    private static final WorkerId W2 = WorkerId.of("w2");
    private static final WorkerId W3 = WorkerId.of("w3");
    private static final List<WorkerId> ALL = List.of(W1, W2, W3);
    private static final long LEASE_MILLIS = 5_000;

    private final LeaderLease tenure = new LeaderLease(at(0), false);

    private static ClockReading at(long millis) {
        return new ClockReading(millis, millis);
    }

    @Nested
    class Grants {

        @Test
        void areMadeWhileTheStoreTakesAppends() {
            tenure.recordStoredAppend(at(9_000));
            assertTrue(tenure.mayGrant(at(10_900), ALL));
            assertFalse(tenure.mayGrant(at(11_100), ALL));
        }

        @Test
        void goOnWithoutTheStoreWhileMostWorkersAnswer() {
            tenure.recordWorkerAnswer(W1, at(9_000));
            assertFalse(tenure.mayGrant(at(10_000), ALL));
            tenure.recordWorkerAnswer(W2, at(9_500));
            assertTrue(tenure.mayGrant(at(10_000), ALL));
            assertFalse(tenure.mayGrant(at(11_100), ALL));
        }

        @Test
        void halfOfTheWorkersIsNotEnough() {
            tenure.recordWorkerAnswer(W1, at(9_000));
            assertFalse(tenure.mayGrant(at(10_000), List.of(W1, W2)));
        }

        @Test
        void endOverASuspensionThatTheSteadyClockDoesNotShow() {
            tenure.recordStoredAppend(new ClockReading(9_000, 9_000));
            assertFalse(tenure.mayGrant(new ClockReading(9_100, 14_000), ALL));
        }

        @Test
        void outliveAClockThatIsSetBack() {
            tenure.recordStoredAppend(new ClockReading(9_000, 9_000));
            assertTrue(tenure.mayGrant(new ClockReading(9_100, 4_000), ALL));
            assertFalse(tenure.mayGrant(new ClockReading(11_100, 4_000), ALL));
        }
    }

    @Nested
    class Predecessor {

        @Test
        void isOverOnceMostWorkersHaveToldAndItsLastGrantHasLapsed() {
            tenure.recordWorkerAnswer(W1, at(1_000));
            tenure.updateMajority(at(1_000), ALL);
            assertFalse(tenure.havePredecessorLeasesLapsed(at(60_000), LEASE_MILLIS));
            tenure.recordWorkerAnswer(W2, at(60_000));
            tenure.updateMajority(at(60_100), ALL);
            long longest = 2_000 + LeaseClock.worstCaseMillis(LEASE_MILLIS);
            assertFalse(tenure.havePredecessorLeasesLapsed(at(60_099 + longest), LEASE_MILLIS));
            assertTrue(tenure.havePredecessorLeasesLapsed(at(60_100 + longest), LEASE_MILLIS));
        }

        @Test
        void isOverAtOnceIfItResignedAndSaidSo() {
            assertTrue(
                    new LeaderLease(at(0), true).havePredecessorLeasesLapsed(at(0), LEASE_MILLIS));
        }
    }
}
