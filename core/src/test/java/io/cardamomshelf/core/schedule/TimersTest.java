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
        void isDueAfterTheSilenceTimeout() {
            timer.proven(1_000);
            timer.heard(1_000);
            timer.proven(2_000);
            assertFalse(timer.isDue(2_900, true));
            timer.proven(3_000);
            assertTrue(timer.isDue(3_000, true));
        }

        @Test
        void isNotDueWhileAReadHangs() {
            timer.proven(1_000);
            timer.heard(1_000);
            timer.proven(2_000);
            assertFalse(timer.isDue(3_300, true));
        }

        @Test
        void countsNoSilenceWhileTheOwnConnectionIsDown() {
            timer.proven(1_000);
            timer.heard(1_000);
            assertFalse(timer.isDue(9_000, true));
            timer.proven(9_000);
            assertFalse(timer.isDue(9_100, true));
            timer.proven(10_500);
            assertFalse(timer.isDue(10_900, true));
            assertTrue(timer.isDue(11_000, true));
        }

        @Test
        void isDueAtOnceAfterAResignation() {
            timer.proven(1_000);
            timer.heard(1_000);
            timer.resigned();
            assertTrue(timer.isDue(1_001, true));
            timer.heard(1_100);
            assertFalse(timer.isDue(1_101, true));
        }
    }

    @Nested
    class Leases {

        @Test
        void ofAnEarlierSchedulerLapseAtTheirEnd() {
            LeaseClock clock = new LeaseClock(5_000);
            assertFalse(clock.isLapsed(4_999));
            assertTrue(clock.isLapsed(5_000));
        }

        @Test
        void lapseLaterIfTheWorkersClockMayBeSlow() {
            LeaseClock clock = new LeaseClock(0);
            clock.observe(700_000, 1_000);
            clock.leaseEnd(1_000, 5_000);
            assertFalse(clock.isLapsed(1_000 + 5_100));
            assertTrue(clock.isLapsed(1_000 + LeaseClock.worstCaseMillis(5_000)));
        }

        @Test
        void lapseWhenTheWorkerRestarts() {
            LeaseClock clock = new LeaseClock(0);
            clock.observe(700_000, 1_000);
            clock.leaseEnd(1_000, 5_000);
            clock.reset();
            assertTrue(clock.isLapsed(1_100));
        }
    }
}
