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
            LeaseClock clock = new LeaseClock(5_000);
            assertFalse(clock.haveLeasesLapsed(4_999));
            assertTrue(clock.haveLeasesLapsed(5_000));
        }

        @Test
        void lapseLaterIfTheWorkersClockMayBeSlow() {
            LeaseClock clock = new LeaseClock(0);
            clock.observe(700_000, 1_000);
            clock.grantLease(1_000, 5_000);
            assertFalse(clock.haveLeasesLapsed(1_000 + 5_100));
            assertTrue(clock.haveLeasesLapsed(1_000 + LeaseClock.worstCaseMillis(5_000)));
        }

        @Test
        void lapseWhenTheWorkerRestarts() {
            LeaseClock clock = new LeaseClock(0);
            clock.observe(700_000, 1_000);
            clock.grantLease(1_000, 5_000);
            clock.reset(0);
            assertTrue(clock.haveLeasesLapsed(1_100));
        }

        @Test
        void lapseLaterIfACallToTheOldIncarnationMayReachTheNewOne() {
            LeaseClock clock = new LeaseClock(0);
            clock.observe(700_000, 1_000);
            clock.grantLease(1_000, 5_000);
            clock.reset(11_500);
            clock.observe(20, 1_100);
            clock.grantLease(1_100, 5_000);
            assertFalse(clock.haveLeasesLapsed(11_499));
            assertTrue(clock.haveLeasesLapsed(11_500));
        }

        /** Guards against a lease that ends on the clock of an earlier incarnation. */
        @Test
        void areNotGrantedBeforeTheClockOfANewIncarnationIsObserved() {
            LeaseClock clock = new LeaseClock(0);
            clock.observe(700_000, 1_000);
            clock.reset(0);
            assertFalse(clock.hasObservation());
            assertThrows(IllegalStateException.class, () -> clock.grantLease(1_100, 5_000));
        }
    }

    @Nested
    class WorkerClocks {

        @Test
        void showARestartWhenTheyGoBack() {
            LeaseClock clock = new LeaseClock(0);
            clock.observe(700_000, 1_000);
            assertTrue(clock.showsRestart(20, 1_000));
            assertFalse(clock.showsRestart(700_000, 1_000));
        }

        @Test
        void showNoRestartInAnAnswerToAnEarlierCall() {
            LeaseClock clock = new LeaseClock(0);
            clock.observe(700_000, 1_000);
            assertFalse(clock.showsRestart(699_990, 999));
        }

        @Test
        void areNotSetBackByAnAnswerThatWasOvertaken() {
            LeaseClock clock = new LeaseClock(0);
            clock.observe(700_000, 1_000);
            clock.observe(698_000, 1_500);
            assertEquals(705_500, clock.grantLease(1_500, 5_000));
        }
    }
}
