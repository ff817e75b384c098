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

    private boolean isCandidacyDueAt(long millis) {
        timer.readCompleted(millis);
        return timer.isCandidacyDue(millis, true);
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
            timer.readCompleted(0);
            timer.signReceived(0);
            assertFalse(isCandidacyDueBetween(100, TIMEOUT_MILLIS + DELAY_MILLIS));
            assertTrue(isCandidacyDueAt(TIMEOUT_MILLIS + DELAY_MILLIS));
        }

        @Test
        void delaysTheCandidacyAfterAResignation() {
            timer.readCompleted(0);
            timer.signReceived(0);
            timer.schedulerResigned();
            assertFalse(isCandidacyDueBetween(0, DELAY_MILLIS));
            assertTrue(isCandidacyDueAt(DELAY_MILLIS));
        }

        @Test
        void startsOnceTheProcessIsReady() {
            timer.readCompleted(0);
            timer.signReceived(0);
            for (long millis = 100; millis <= 5_000; millis += 100) {
                timer.readCompleted(millis);
                assertFalse(timer.isCandidacyDue(millis, false));
            }
            assertFalse(isCandidacyDueBetween(5_100, 5_100 + DELAY_MILLIS));
            assertTrue(isCandidacyDueAt(5_100 + DELAY_MILLIS));
        }

        @Test
        void restartsWhenAnotherSchedulerWasElectedMeanwhile() {
            timer.readCompleted(0);
            timer.signReceived(0);
            assertFalse(isCandidacyDueBetween(100, TIMEOUT_MILLIS + DELAY_MILLIS));
            timer.signReceived(TIMEOUT_MILLIS + DELAY_MILLIS - 50);
            assertFalse(
                    isCandidacyDueBetween(
                            TIMEOUT_MILLIS + DELAY_MILLIS,
                            2 * (TIMEOUT_MILLIS + DELAY_MILLIS) - 100));
        }
    }
}
