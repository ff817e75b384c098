package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** When a small machine stands; {@link TimersTest} has what holds for all. */
class ElectionTimerTest {

    private static final long SILENCE = 1_500;
    private static final long HANDICAP = 700;

    private final ElectionTimer timer = new ElectionTimer(SILENCE, HANDICAP);

    private boolean isDueAt(long millis) {
        timer.readCompleted(millis);
        return timer.isCandidacyDue(millis, true);
    }

    /** Asks each tenth of a second, as a candidate does. */
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
        void isAddedToTheSilence() {
            timer.readCompleted(0);
            timer.signReceived(0);
            assertFalse(isDueBetween(100, SILENCE + HANDICAP));
            assertTrue(isDueAt(SILENCE + HANDICAP));
        }

        @Test
        void isAddedToAVacancy() {
            timer.readCompleted(0);
            timer.signReceived(0);
            timer.schedulerResigned();
            assertFalse(isDueBetween(0, HANDICAP));
            assertTrue(isDueAt(HANDICAP));
        }

        @Test
        void beginsOnceTheProcessIsReady() {
            timer.readCompleted(0);
            timer.signReceived(0);
            for (long millis = 100; millis <= 5_000; millis += 100) {
                timer.readCompleted(millis);
                assertFalse(timer.isCandidacyDue(millis, false));
            }
            assertFalse(isDueBetween(5_100, 5_100 + HANDICAP));
            assertTrue(isDueAt(5_100 + HANDICAP));
        }

        @Test
        void beginsAnewWhenAnotherWasElectedMeanwhile() {
            timer.readCompleted(0);
            timer.signReceived(0);
            assertFalse(isDueBetween(100, SILENCE + HANDICAP));
            timer.signReceived(SILENCE + HANDICAP - 50);
            assertFalse(isDueBetween(SILENCE + HANDICAP, 2 * (SILENCE + HANDICAP) - 100));
        }
    }
}
