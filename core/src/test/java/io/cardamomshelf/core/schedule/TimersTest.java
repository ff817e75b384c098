package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests when a scheduler is replaced, and when the leases of an unresponsive worker have lapsed.
 */
class TimersTest {

    private static final long MAX_LEASE_MILLIS = 10_000;
    private static final long WORST_LEASE_MILLIS = LeaseClock.worstCaseMillis(MAX_LEASE_MILLIS);

    /** The longest time until a call without an answer is carried out, as the platform states. */
    private static final long CALL_DELAY_MILLIS = 12_000;

    private static LeaseClock inherited(long untilMillis) {
        return new LeaseClock(0, untilMillis, Long.MIN_VALUE, MAX_LEASE_MILLIS);
    }

    private static ClockReading at(long millis) {
        return new ClockReading(millis, millis);
    }

    @Nested
    class Election {

        private final ElectionTimer timer = new ElectionTimer(2_000, 0);

        @Test
        void isDueAfterTheTimeout() {
            timer.readCompleted(at(1_000));
            timer.signReceived(at(1_000));
            timer.readCompleted(at(2_000));
            assertFalse(timer.isCandidacyDue(at(2_900), true));
            timer.readCompleted(at(3_000));
            assertTrue(timer.isCandidacyDue(at(3_000), true));
        }

        @Test
        void isNotDueWhileAReadHangs() {
            timer.readCompleted(at(1_000));
            timer.signReceived(at(1_000));
            timer.readCompleted(at(2_000));
            assertFalse(timer.isCandidacyDue(at(3_300), true));
        }

        @Test
        void isNotDueUntilTheTimeoutPassesWithAReadableStore() {
            timer.readCompleted(at(1_000));
            timer.signReceived(at(1_000));
            assertFalse(timer.isCandidacyDue(at(9_000), true));
            timer.readCompleted(at(9_000));
            assertFalse(timer.isCandidacyDue(at(9_100), true));
            timer.readCompleted(at(10_500));
            assertFalse(timer.isCandidacyDue(at(10_900), true));
            assertTrue(timer.isCandidacyDue(at(11_000), true));
        }

        @Test
        void isDueAtOnceAfterAResignation() {
            timer.readCompleted(at(1_000));
            timer.signReceived(at(1_000));
            timer.schedulerResigned();
            assertTrue(timer.isCandidacyDue(at(1_001), true));
            timer.signReceived(at(1_100));
            assertFalse(timer.isCandidacyDue(at(1_101), true));
        }
    }

    @Nested
    class Leases {

        @Test
        void ofAnEarlierSchedulerLapseAtTheirEnd() {
            LeaseClock clock = inherited(5_000);
            assertFalse(clock.haveLeasesLapsed(4_999));
            assertTrue(clock.haveLeasesLapsed(5_000));
        }

        @Test
        void lapseLaterIfTheWorkersClockMayBeSlow() {
            LeaseClock clock = inherited(0);
            clock.observe(700_000, 1_000);
            clock.grantLease(1_000, 5_000);
            assertFalse(clock.haveLeasesLapsed(1_000 + 5_100));
            assertTrue(clock.haveLeasesLapsed(1_000 + LeaseClock.worstCaseMillis(5_000)));
        }

        /** A call to the old incarnation may have reached the new one by the time of the reset. */
        @Test
        void lapseAtTheLatestAfterTheLongestLeaseWhenTheWorkerRestarts() {
            LeaseClock clock = inherited(0);
            clock.observe(700_000, 1_000);
            clock.grantLease(1_000, 60_000);
            clock.callAnswered(1_000);
            clock.reset(1_100);
            assertFalse(clock.haveLeasesLapsed(1_100 + WORST_LEASE_MILLIS - 1));
            assertTrue(clock.haveLeasesLapsed(1_100 + WORST_LEASE_MILLIS));
        }

        @Test
        void lapseLaterIfACallToTheOldIncarnationMayReachTheNewOne() {
            LeaseClock clock = inherited(0);
            clock.observe(700_000, 1_000);
            clock.grantLease(1_000, 5_000);
            clock.reset(1_100);
            clock.observe(20, 1_200);
            clock.grantLease(1_200, 5_000);
            long lapsedMillis = 1_000 + CALL_DELAY_MILLIS + WORST_LEASE_MILLIS;
            assertFalse(clock.haveLeasesLapsed(lapsedMillis - 1));
            assertTrue(clock.haveLeasesLapsed(lapsedMillis));
        }

        @Test
        void lapseLaterIfSuchACallWasMeantForAnIncarnationBeforeTheOldOne() {
            LeaseClock clock = inherited(0);
            clock.observe(700_000, 1_000);
            clock.grantLease(1_000, 5_000);
            clock.reset(1_100);
            clock.observe(20, 1_200);
            clock.reset(9_000);
            long lapsedMillis = 1_000 + CALL_DELAY_MILLIS + WORST_LEASE_MILLIS;
            assertFalse(clock.haveLeasesLapsed(lapsedMillis - 1));
            assertTrue(clock.haveLeasesLapsed(lapsedMillis));
        }

        @Test
        void lapseNoLaterIfACallToTheOldIncarnationIsTooOldToBeCarriedOut() {
            LeaseClock clock = inherited(0);
            clock.observe(700_000, 1_000);
            clock.grantLease(1_000, 5_000);
            clock.reset(1_001 + CALL_DELAY_MILLIS);
            assertTrue(clock.haveLeasesLapsed(1_001 + CALL_DELAY_MILLIS + WORST_LEASE_MILLIS));
        }

        /** The calls of an earlier scheduler to an earlier incarnation may reach a young one. */
        @Test
        void ofAYoungIncarnationLapseLaterIfThereWasAnEarlierScheduler() {
            LeaseClock clock = new LeaseClock(1_500, 5_000, 2_000, MAX_LEASE_MILLIS);
            long lapsedMillis = 2_000 + CALL_DELAY_MILLIS + WORST_LEASE_MILLIS;
            assertFalse(clock.haveLeasesLapsed(lapsedMillis - 1));
            assertTrue(clock.haveLeasesLapsed(lapsedMillis));
        }

        /** Earlier schedulers had learnt of its start, and their last call is too old. */
        @Test
        void ofAnIncarnationThatHasBeenUpForLongLapseAtTheirEnd() {
            LeaseClock clock = new LeaseClock(70_000, 105_000, 100_000, MAX_LEASE_MILLIS);
            assertTrue(clock.haveLeasesLapsed(105_000));
        }

        @Test
        void ofAnIncarnationThatRestartsUnderItsNextSchedulerLapseLater() {
            LeaseClock clock = new LeaseClock(70_000, 105_000, 100_000, MAX_LEASE_MILLIS);
            clock.reset(101_000);
            long lapsedMillis = 100_000 + CALL_DELAY_MILLIS + WORST_LEASE_MILLIS;
            assertFalse(clock.haveLeasesLapsed(lapsedMillis - 1));
            assertTrue(clock.haveLeasesLapsed(lapsedMillis));
        }

        /** Guards against a lease that ends on the clock of an earlier incarnation. */
        @Test
        void areNotGrantedBeforeTheClockOfANewIncarnationIsObserved() {
            LeaseClock clock = inherited(0);
            clock.observe(700_000, 1_000);
            clock.reset(1_050);
            assertFalse(clock.hasObservation());
            assertThrows(IllegalStateException.class, () -> clock.grantLease(1_100, 5_000));
        }
    }

    @Nested
    class WorkerClocks {

        @Test
        void showARestartWhenTheyGoBack() {
            LeaseClock clock = inherited(0);
            clock.observe(700_000, 1_000);
            assertTrue(clock.showsRestart(20, 1_000));
            assertFalse(clock.showsRestart(700_000, 1_000));
        }

        @Test
        void showNoRestartInAnAnswerToAnEarlierCall() {
            LeaseClock clock = inherited(0);
            clock.observe(700_000, 1_000);
            assertFalse(clock.showsRestart(699_990, 999));
        }

        @Test
        void areNotSetBackByAnAnswerThatWasOvertaken() {
            LeaseClock clock = inherited(0);
            clock.observe(700_000, 1_000);
            clock.observe(698_000, 1_500);
            assertEquals(705_500, clock.grantLease(1_500, 5_000));
        }
    }
}
