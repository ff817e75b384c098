package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.task.CompletedSteps;
import java.util.BitSet;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that what is done of a job is kept in little space, however much that is. */
class StepCompletionTest {

    private static final int STEPS = 100;
    private static final int OCCURRENCES = 100_000;

    private static void completeOccurrence(StepCompletion completion, int occurrence) {
        for (int step = 0; step < STEPS; step++) {
            completion.markDone(occurrence, step);
        }
    }

    @Nested
    class ManyOccurrences {

        private final StepCompletion completion = new StepCompletion(STEPS, CompletedSteps.NONE);

        @Test
        void thatAreDoneInOrderAreOneNumber() {
            for (int i = 0; i < OCCURRENCES; i++) {
                completeOccurrence(completion, i);
            }
            CompletedSteps record = completion.toRecord();
            assertEquals(OCCURRENCES, record.firstOpen());
            assertTrue(record.laterDone().isEmpty());
            assertTrue(record.stepsDone().isEmpty());
        }

        @Test
        void thatAreDoneBesideAnOpenOneAreABitEach() {
            for (int i = 1; i < OCCURRENCES; i++) {
                completeOccurrence(completion, i);
            }
            CompletedSteps record = completion.toRecord();
            assertEquals(0, record.firstOpen());
            assertEquals(OCCURRENCES - 1, record.laterDone().cardinality());
            assertTrue(record.stepsDone().isEmpty());
        }
    }

    @Nested
    class ARestoredCompletion {

        @Test
        void hasTheSameStepsDone() {
            StepCompletion completion = new StepCompletion(STEPS, CompletedSteps.NONE);
            completeOccurrence(completion, 0);
            completeOccurrence(completion, 1);
            completeOccurrence(completion, 3);
            completion.markDone(2, 7);
            StepCompletion restored = new StepCompletion(STEPS, completion.toRecord());
            for (int occurrence = 0; occurrence < 5; occurrence++) {
                for (int step = 0; step < STEPS; step++) {
                    assertEquals(
                            completion.isDone(occurrence, step), restored.isDone(occurrence, step));
                }
            }
            assertEquals(2, restored.nextOpen(0));
            assertEquals(4, restored.nextOpen(3));
            assertTrue(restored.isDone(2, 7));
            assertFalse(restored.isDone(2, 8));
        }

        @Test
        void doesNotChangeWithTheOriginal() {
            StepCompletion completion = new StepCompletion(STEPS, CompletedSteps.NONE);
            completion.markDone(0, 1);
            CompletedSteps record = completion.toRecord();
            completion.markDone(0, 2);
            BitSet expected = new BitSet();
            expected.set(1);
            assertEquals(expected, record.stepsDone().get(0));
        }
    }
}
