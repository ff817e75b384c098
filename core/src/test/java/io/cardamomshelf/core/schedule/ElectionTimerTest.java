package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests when an instance with a handicap, set for instances too small to lead, runs for election.
 * {@link TimersTest} covers instances without one.
 */
class ElectionTimerTest {

    private static final long SILENCE_MILLIS = 1_500;
    private static final long HANDICAP_MILLIS = 700;

    private final ElectionTimer timer = new ElectionTimer(SILENCE_MILLIS, HANDICAP_MILLIS);

    private boolean isDueAt(long millis) {
        timer.readCompleted(millis);
        return timer.isCandidacyDue(millis, true);
    }

    /** Polls the timer every 100 milliseconds, as a candidate does. */
    private boolean isDueBetween(long fromMillis, long toMillis) {
        boolean due = false;
        for (long millis = fromMillis; millis < toMillis; millis += 100) {
            due |= isDueAt(millis);
        }
        return due;
    }

    @Nested
    class Handicap {

        @Test
        void isAddedToTheSilenceTimeout() {
            timer.readCompleted(0);
            timer.signReceived(0);
            assertFalse(isDueBetween(100, SILENCE_MILLIS + HANDICAP_MILLIS));
            assertTrue(isDueAt(SILENCE_MILLIS + HANDICAP_MILLIS));
        }

        @Test
        void delaysTheCandidacyAfterAResignation() {
            timer.readCompleted(0);
            timer.signReceived(0);
            timer.schedulerResigned();
            assertFalse(isDueBetween(0, HANDICAP_MILLIS));
            assertTrue(isDueAt(HANDICAP_MILLIS));
        }

        @Test
        void startsOnceTheProcessIsReady() {
            timer.readCompleted(0);
            timer.signReceived(0);
            for (long millis = 100; millis <= 5_000; millis += 100) {
                timer.readCompleted(millis);
                assertFalse(timer.isCandidacyDue(millis, false));
            }
            assertFalse(isDueBetween(5_100, 5_100 + HANDICAP_MILLIS));
            assertTrue(isDueAt(5_100 + HANDICAP_MILLIS));
        }

        @Test
        void restartsWhenAnotherSchedulerWasElectedMeanwhile() {
            timer.readCompleted(0);
            timer.signReceived(0);
            assertFalse(isDueBetween(100, SILENCE_MILLIS + HANDICAP_MILLIS));
            timer.signReceived(SILENCE_MILLIS + HANDICAP_MILLIS - 50);
            assertFalse(
                    isDueBetween(
                            SILENCE_MILLIS + HANDICAP_MILLIS,
                            2 * (SILENCE_MILLIS + HANDICAP_MILLIS) - 100));
        }
    }
}
