package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.LeaseClock;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests starts that get no answer and are carried out seconds later, by an incarnation of their
 * worker that has registered nowhere and whose lists no scheduler has received.
 */
class LateStartsTest extends SchedulingFixture {

    private static final long DELAY_MILLIS = 8_000;

    private final WorkerId worker = WorkerId.of("w1");
    private final JobId second = JobId.of("00000000000000ab");
    private long arrivalMillis;

    private void lead() {
        storeConfigurationAndWorkers("w1");
        new Process("one");
        time.advance(4_000);
    }

    /** Delays the first attempt at the start of a task, whose second attempt succeeds. */
    private void delayFirstAttempt() {
        workers.lateMillis.put(worker, DELAY_MILLIS);
        submitSmall(JOB);
        while (workers.starts.isEmpty()) {
            time.advance(1);
        }
        arrivalMillis = time.monotonicMillis() + DELAY_MILLIS;
        time.advance(100);
        workers.lateMillis.clear();
        while (!workers.isRunning(TASK)) {
            time.advance(1);
        }
    }

    private void finishTask() {
        workers.finish("w1", TASK, RunEnd.DONE);
        time.advance(1_000);
        assertEquals(List.of(), workers.worker("w1").ended);
    }

    private void restartBeforeArrival(long millis) {
        time.advance(arrivalMillis - millis - time.monotonicMillis());
        workers.restart("w1");
    }

    private void assertNotRepeated() {
        time.advance(10_000);
        assertEquals(List.of(), workers.repeats);
        assertEquals(List.of(), workers.overlaps);
    }

    @Nested
    class OfKnownRuns {

        /** Guards against a start on an incarnation that calls reach, though no answer returns. */
        @Test
        void areRefusedByAnIncarnationWhoseAnswersAreLost() {
            lead();
            delayFirstAttempt();
            submitSmall(second);
            finishTask();
            assertTrue(workers.isRunning(TaskId.of(second, 0, 0, 0)));
            workers.losingAnswers.add(worker);
            restartBeforeArrival(1_700);
            assertNotRepeated();
        }

        /** Guards against a stop that ends the run which a second attempt has started. */
        @Test
        void areNotStoppedWhileTheirRunGoesOn() {
            lead();
            delayFirstAttempt();
            time.advance(1_000);
            workers.losingAnswers.add(worker);
            time.advance(2_000);
            workers.losingAnswers.clear();
            time.advance(10_000);
            assertEquals(List.of(), workers.stops);
            assertTrue(workers.isRunning(TASK));
        }
    }

    /** No call shows that an idle worker has restarted. */
    @Nested
    class OnIdleWorkers {

        /** Guards against a start soon after a restart that no call has shown. */
        @Test
        void areRefusedByAnIncarnationThatNothingElseHasShown() {
            lead();
            delayFirstAttempt();
            finishTask();
            restartBeforeArrival(360);
            assertNotRepeated();
        }

        /** Guards against the same if the task was started again under the next number. */
        @Test
        void areRefusedThereIfTheirRunWasStopped() {
            lead();
            workers.lateMillis.put(worker, DELAY_MILLIS);
            submitSmall(JOB);
            while (workers.stops.isEmpty()) {
                time.advance(1);
            }
            arrivalMillis = time.monotonicMillis() + DELAY_MILLIS - 700;
            workers.lateMillis.clear();
            while (!workers.isRunning(TASK)) {
                time.advance(1);
            }
            finishTask();
            restartBeforeArrival(360);
            assertNotRepeated();
        }

        /** Guards against stops of starts that can't arrive any more. */
        @Test
        void areStoppedForNoLongerThanTheyMayArrive() {
            lead();
            delayFirstAttempt();
            finishTask();
            time.advance(LeaseClock.MAX_CALL_DELAY_MILLIS);
            int stops = workers.stops.size();
            time.advance(5_000);
            assertEquals(stops, workers.stops.size());
        }

        /** Guards against more than four stops a second. */
        @Test
        void areStoppedAtIntervals() {
            lead();
            delayFirstAttempt();
            finishTask();
            int stops = workers.stops.size();
            time.advance(5_000);
            assertTrue(workers.stops.size() - stops <= 20);
        }
    }

    @Nested
    class BeforeAllLaterCalls {

        /** Guards against a start that overtakes every call that could prevent it; known red. */
        @Test
        void areNotCarriedOutByTheNextIncarnation() {
            lead();
            delayFirstAttempt();
            finishTask();
            time.advance(arrivalMillis - 2_000 - time.monotonicMillis());
            workers.lateMillis.put(worker, 10_000L);
            restartBeforeArrival(1_000);
            assertNotRepeated();
        }
    }
}
