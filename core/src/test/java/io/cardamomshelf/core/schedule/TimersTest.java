package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests when a scheduler is replaced, and when the leases of an unresponsive worker have lapsed.
 */
class TimersTest {

    @Nested
    class Election {

        private final ElectionTimer timer = new ElectionTimer(2_000, 0);

        @Test
        void isDueAfterTheTimeout() {
            timer.readCompleted(1_000);
            timer.signReceived(1_000);
            timer.readCompleted(2_000);
            assertFalse(timer.isCandidacyDue(2_900, true));
            timer.readCompleted(3_000);
            assertTrue(timer.isCandidacyDue(3_000, true));
        }

        @Test
        void isNotDueWhileAReadHangs() {
            timer.readCompleted(1_000);
            timer.signReceived(1_000);
            timer.readCompleted(2_000);
            assertFalse(timer.isCandidacyDue(3_300, true));
        }

        @Test
        void isNotDueUntilTheTimeoutPassesWithAReadableStore() {
            timer.readCompleted(1_000);
            timer.signReceived(1_000);
            assertFalse(timer.isCandidacyDue(9_000, true));
            timer.readCompleted(9_000);
            assertFalse(timer.isCandidacyDue(9_100, true));
            timer.readCompleted(10_500);
            assertFalse(timer.isCandidacyDue(10_900, true));
            assertTrue(timer.isCandidacyDue(11_000, true));
        }

        @Test
        void isDueAtOnceAfterAResignation() {
            timer.readCompleted(1_000);
            timer.signReceived(1_000);
            timer.schedulerResigned();
            assertTrue(timer.isCandidacyDue(1_001, true));
            timer.signReceived(1_100);
            assertFalse(timer.isCandidacyDue(1_101, true));
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
            clock.reset();
            assertTrue(clock.haveLeasesLapsed(1_100));
        }
    }
}
