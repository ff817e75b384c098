package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests when an instance runs for election whose candidacy is delayed, as it has too little
 * processor capacity for scheduling. {@link TimersTest} covers instances without a delay.
 */
class ElectionTimerTest {

    private static final long TIMEOUT_MILLIS = 1_500;
    private static final long DELAY_MILLIS = 700;

    private final ElectionTimer timer = new ElectionTimer(TIMEOUT_MILLIS, DELAY_MILLIS);

    private static ClockReading at(long millis) {
        return new ClockReading(millis, millis);
    }

    private boolean isCandidacyDueAt(long millis) {
        timer.readCompleted(at(millis));
        return timer.isCandidacyDue(at(millis), true);
    }

    /** Polls the timer every 100 milliseconds, as a candidate does. */
    private boolean isCandidacyDueBetween(long fromMillis, long toMillis) {
        boolean due = false;
        for (long millis = fromMillis; millis < toMillis; millis += 100) {
            due |= isCandidacyDueAt(millis);
        }
        return due;
    }

    @Nested
    class CandidacyDelay {

        @Test
        void isAddedToTheTimeout() {
            timer.readCompleted(at(0));
            timer.signReceived(at(0));
            assertFalse(isCandidacyDueBetween(100, TIMEOUT_MILLIS + DELAY_MILLIS));
            assertTrue(isCandidacyDueAt(TIMEOUT_MILLIS + DELAY_MILLIS));
        }

        @Test
        void delaysTheCandidacyAfterAResignation() {
            timer.readCompleted(at(0));
            timer.signReceived(at(0));
            timer.schedulerResigned();
            assertFalse(isCandidacyDueBetween(0, DELAY_MILLIS));
            assertTrue(isCandidacyDueAt(DELAY_MILLIS));
        }

        @Test
        void startsOnceTheProcessIsReady() {
            timer.readCompleted(at(0));
            timer.signReceived(at(0));
            for (long millis = 100; millis <= 5_000; millis += 100) {
                timer.readCompleted(at(millis));
                assertFalse(timer.isCandidacyDue(at(millis), false));
            }
            assertFalse(isCandidacyDueBetween(5_100, 5_100 + DELAY_MILLIS));
            assertTrue(isCandidacyDueAt(5_100 + DELAY_MILLIS));
        }

        @Test
        void restartsWhenAnotherSchedulerWasElectedMeanwhile() {
            timer.readCompleted(at(0));
            timer.signReceived(at(0));
            assertFalse(isCandidacyDueBetween(100, TIMEOUT_MILLIS + DELAY_MILLIS));
            timer.signReceived(at(TIMEOUT_MILLIS + DELAY_MILLIS - 50));
            assertFalse(
                    isCandidacyDueBetween(
                            TIMEOUT_MILLIS + DELAY_MILLIS,
                            2 * (TIMEOUT_MILLIS + DELAY_MILLIS) - 100));
        }
    }

    /** The process is suspended for five seconds, which its monotonic clock doesn't count. */
    @Nested
    class Suspension {

        private static final long SUSPENDED_MILLIS = 5_000;

        private ClockReading afterSuspension(long monotonicMillis) {
            return new ClockReading(monotonicMillis, monotonicMillis + SUSPENDED_MILLIS);
        }

        @Test
        void allowsNoCandidacyOnReadsFromBefore() {
            ElectionTimer undelayed = new ElectionTimer(TIMEOUT_MILLIS, 0);
            undelayed.readCompleted(at(0));
            undelayed.signReceived(at(0));
            undelayed.readCompleted(at(1_000));
            assertFalse(undelayed.isCandidacyDue(afterSuspension(TIMEOUT_MILLIS), true));
        }

        @Test
        void restartsTheTimeoutAtTheNextRead() {
            ElectionTimer undelayed = new ElectionTimer(TIMEOUT_MILLIS, 0);
            undelayed.readCompleted(at(0));
            undelayed.signReceived(at(0));
            undelayed.readCompleted(at(1_000));
            undelayed.readCompleted(afterSuspension(1_400));
            assertFalse(undelayed.isCandidacyDue(afterSuspension(1_600), true));
            undelayed.readCompleted(afterSuspension(2_400));
            assertTrue(undelayed.isCandidacyDue(afterSuspension(1_400 + TIMEOUT_MILLIS), true));
        }
    }
}
