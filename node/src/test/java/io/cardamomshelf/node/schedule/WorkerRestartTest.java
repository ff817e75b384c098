package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.node.FakeStore.Fault;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.store.JobRecords;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests what a scheduler keeps of a worker that restarts under its identifier. The restarted worker
 * has no runs, no leases and no ends, and its clock and its numbers of ends start again.
 */
class WorkerRestartTest extends SchedulingFixture {

    private void lead() {
        storeConfigurationAndWorkers("w1");
        new Process("one");
        time.advance(4_000);
    }

    @Nested
    class StartsOnTheNewIncarnation {

        /** Guards against dropping runs of the new incarnation when its entry is read. */
        @Test
        void areKeptWhenItsEntryIsRead() {
            lead();
            workers.restart("w1");
            submit(1, false);
            time.advance(200);
            assertTrue(workers.isRunning(TASK));
            register("w2");
            register("w1");
            time.advance(5_000);
            assertEquals(1, workers.starts.size());
            assertEquals(List.of(), workers.overlaps);
            assertTrue(workers.isRunning(TASK));
        }
    }

    @Nested
    class UnansweredStarts {

        private final WorkerId worker = WorkerId.of("w1");

        /** Sends a start that gets no answer, and restarts the worker before its repeat is due. */
        private void restartDuringStart() {
            lead();
            workers.disconnected.add(worker);
            submit(1, false);
            time.advance(300);
            assertEquals(1, workers.starts.size());
            workers.restart("w1");
            register("w2");
            register("w1");
            time.advance(200);
            workers.disconnected.clear();
        }

        private void assertRunsOnce() {
            time.advance(5_000);
            assertEquals(List.of(), workers.overlaps);
            assertEquals(
                    1, workers.running().values().stream().mapToInt(tasks -> tasks.size()).sum());
        }

        /** Guards against the repeat of a start after its task was started elsewhere. */
        @Test
        void areNotRepeatedOnceTheirTaskWasStartedElsewhere() {
            restartDuringStart();
            assertRunsOnce();
        }

        /** Guards against a start on a worker of another kind than the one that was chosen. */
        @Test
        void areNotRepeatedToANewIncarnationThatHasReported() {
            lead();
            workers.disconnected.add(worker);
            submit(1, false);
            time.advance(300);
            workers.restart("w1");
            workers.disconnected.clear();
            register("w2");
            register("w1");
            assertRunsOnce();
            long run = workers.starts.get(0).run();
            assertEquals(1, workers.starts.stream().filter(start -> start.run() == run).count());
        }

        /** Guards against a second run with the number of one that ended with its worker. */
        @Test
        void areNotRepeatedIfTheirConnectionWasLost() {
            lead();
            workers.losingConnections.add(worker);
            submit(1, false);
            while (!workers.isRunning(TASK)) {
                time.advance(1);
            }
            workers.finish("w1", TASK, RunEnd.DONE);
            workers.restart("w1");
            time.advance(2);
            workers.losingConnections.clear();
            time.advance(1_000);
            register("w1");
            assertRunsOnce();
            long run = workers.starts.get(0).run();
            assertEquals(1, workers.starts.stream().filter(start -> start.run() == run).count());
        }

        /** Guards against a start that the new incarnation carries out late. */
        @Test
        void thatTheNewIncarnationCarriesOutLateDoNotRunBesideAnotherOne() {
            lead();
            workers.lateMillis.put(worker, 1_500L);
            submit(1, false);
            time.advance(300);
            workers.restart("w1");
            workers.lateMillis.clear();
            register("w2");
            register("w1");
            store.write(Stream.WORKERS, StoredRecord.tombstone("w1"));
            assertRunsOnce();
            assertEquals(WorkerId.of("w2"), workers.hostOf(TASK));
        }

        /** Guards against a start that is carried out after its task was done. */
        @Test
        void areRefusedByTheNextIncarnationThoughTheirRunHasEnded() {
            lead();
            workers.lateMillis.put(worker, 6_000L);
            submit(1, false);
            time.advance(100);
            workers.lateMillis.clear();
            while (!workers.isRunning(TASK)) {
                time.advance(1);
            }
            workers.finish("w1", TASK, RunEnd.DONE);
            time.advance(1_000);
            workers.restart("w1");
            register("w1");
            time.advance(10_000);
            assertEquals(List.of(), workers.repeats);
            assertFalse(workers.isRunning(TASK));
        }

        /** Guards against the repeat of a start after its job was cancelled. */
        @Test
        void areNotRepeatedOnceTheirJobIsCancelled() {
            lead();
            workers.disconnected.add(worker);
            submit(1, false);
            time.advance(300);
            store.write(Stream.JOBS, JobRecords.cancelled(JOB));
            time.advance(100);
            workers.disconnected.clear();
            time.advance(5_000);
            assertEquals(1, workers.starts.size());
            assertFalse(workers.isRunning(TASK));
        }
    }

    @Nested
    class Stops {

        /** Guards against a stop that the earlier incarnation has answered. */
        @Test
        void areSentAgainIfTheWorkerRestartsBeforeTheAnswer() {
            lead();
            workers.lateMillis.put(WorkerId.of("w1"), 2_500L);
            submit(1, false);
            time.advance(1_450);
            workers.lateMillis.clear();
            while (workers.stops.isEmpty()) {
                time.advance(1);
            }
            workers.answerDelayMillis.put(WorkerId.of("w1"), 400L);
            time.advance(6);
            workers.restart("w1");
            workers.answerDelayMillis.clear();
            register("w2");
            register("w1");
            store.write(Stream.WORKERS, StoredRecord.tombstone("w1"));
            time.advance(5_000);
            assertEquals(List.of(), workers.overlaps);
            assertEquals(WorkerId.of("w2"), workers.hostOf(TASK));
        }
    }

    @Nested
    class EndsOfRuns {

        private final JobId second = JobId.of("00000000000000ab");
        private final TaskId secondTask = TaskId.of(second, 0, 0, 0);

        private void startTask() {
            lead();
            submit(1, false);
            time.advance(500);
        }

        /** Guards against acknowledging, or never acknowledging, ends with numbers seen before. */
        @Test
        void areReadAndAcknowledgedThoughTheEarlierIncarnationHadTheSameNumbers() {
            startTask();
            workers.finish("w1", TASK, RunEnd.DONE);
            time.advance(500);
            workers.restart("w1");
            finishSecondTaskAsFirstOfNewIncarnation();
        }

        private void finishSecondTaskAsFirstOfNewIncarnation() {
            submit(second, 1, false);
            while (!workers.isRunning(secondTask)) {
                time.advance(1);
            }
            workers.finish("w1", secondTask, RunEnd.DONE);
            time.advance(1_000);
            assertEquals(List.of(), workers.unreadEnds);
            assertEquals(List.of(), workers.worker("w1").ended);
            assertEquals(2, workers.starts.size());
        }

        /** Guards against an acknowledgement counted for an incarnation that never had the end. */
        @Test
        void areAcknowledgedThoughAnAcknowledgementWasInFlightDuringTheRestart() {
            startTask();
            workers.finish("w1", TASK, RunEnd.DONE);
            while (!workers.acknowledgedEnds.contains(1L)) {
                time.advance(1);
            }
            workers.restart("w1");
            register("w1");
            finishSecondTaskAsFirstOfNewIncarnation();
        }

        /** Guards against acknowledging ends that only the earlier incarnation has listed. */
        @Test
        void areNotAcknowledgedOnceThoseOfTheEarlierIncarnationAreStored() {
            startTask();
            store.fault = Fault.REFUSING;
            workers.finish("w1", TASK, RunEnd.DONE);
            time.advance(500);
            workers.restart("w1");
            time.advance(1_000);
            int records = store.records(Stream.JOBS).size();
            store.fault = Fault.NONE;
            while (store.records(Stream.JOBS).size() == records) {
                time.advance(1);
            }
            workers.worker("w1").running.put(TASK, 1L);
            workers.finish("w1", TASK, RunEnd.DONE);
            time.advance(3_000);
            assertEquals(List.of(), workers.unreadEnds);
        }

        /** Guards against calls without a pause while no acknowledgement can be sent. */
        @Test
        void areAskedForAtIntervalsIfTheWorkerClosesItsConnections() {
            startTask();
            workers.closingConnections.add(WorkerId.of("w1"));
            workers.finish("w1", TASK, RunEnd.DONE);
            int renewals = workers.worker("w1").renewals;
            time.advance(3_000);
            assertTrue(workers.worker("w1").renewals - renewals <= 12);
            workers.closingConnections.clear();
            time.advance(1_000);
            assertEquals(List.of(), workers.worker("w1").ended);
        }

        /** Guards against acknowledging an end that a restarted worker had between two calls. */
        @Test
        void areNotAcknowledgedIfTheWorkerRestartsAndEndsARunBetweenTwoCalls() {
            lead();
            submit(2, false);
            time.advance(500);
            store.appendMillis = 100;
            workers.finish("w1", TASK, RunEnd.DONE);
            while (workers.starts.size() < 2) {
                time.advance(1);
            }
            workers.restart("w1");
            workers.answerDelayMillis.put(WorkerId.of("w1"), 300L);
            TaskId next = TaskId.of(JOB, 0, 0, 1);
            while (!workers.isRunning(next)) {
                time.advance(1);
            }
            workers.finish("w1", next, RunEnd.DONE);
            time.advance(1_000);
            register("w1");
            time.advance(5_000);
            assertEquals(List.of(), workers.unreadEnds);
            assertEquals(List.of(), workers.repeats);
            assertEquals(2, workers.starts.size());
        }
    }

    /** Answers and entries of an incarnation that arrive after the next one is known. */
    @Nested
    class LateMessages {

        private final WorkerId worker = WorkerId.of("w1");

        /** Guards against the numbers of ends in such an answer, which hide new ends. */
        @Test
        void doNotHideEndsOfRuns() {
            storeConfigurationAndWorkers("w1");
            Process process = new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(500);
            workers.renewalDelayMillis.put(worker, 700L);
            time.advance(2_000);
            workers.finish("w1", TASK, RunEnd.FAILED);
            time.advance(100);
            workers.restart("w1");
            register("w1");
            workers.renewalDelayMillis.clear();
            time.advance(1_500);
            assertTrue(workers.isRunning(TASK));
            workers.finish("w1", TASK, RunEnd.DONE);
            time.advance(3_000);
            assertEquals(JobState.COMPLETED, process.state());
            assertEquals(List.of(), workers.repeats);
        }

        /** Guards against an older entry that is read after the lists of the new incarnation. */
        @Test
        void doNotBeginTheIncarnationAgain() {
            lead();
            workers.restart("w1");
            submit(1, false);
            time.advance(200);
            for (int i = 0; i < 20; i++) {
                store.write(Stream.WORKERS, record("w1"));
                time.advance(1_000);
            }
            assertTrue(workers.isRunning(TASK));
            register("w2");
            workers.disconnected.add(worker);
            time.advance(9_500);
            assertEquals(WorkerId.of("w2"), workers.hostOf(TASK));
        }
    }

    @Nested
    class Leases {

        private void loseWorker() {
            register("w2");
            workers.disconnected.add(WorkerId.of("w1"));
            store.write(Stream.WORKERS, StoredRecord.tombstone("w1"));
        }

        private void assertRestartedElsewhere() {
            assertEquals(2, workers.starts.size());
            assertEquals(WorkerId.of("w2"), workers.starts.get(1).worker());
            assertEquals(List.of(), workers.overlaps);
        }

        /** Guards against a lease that lasts for as long as the earlier incarnation was up. */
        @Test
        void lapseInTimeWhenTheRestartedWorkerIsLost() {
            lead();
            workers.restart("w1");
            register("w1");
            time.advance(2_000);
            submit(1, false);
            time.advance(2_000);
            assertTrue(workers.isRunning(TASK));
            loseWorker();
            time.advance(12_000);
            assertRestartedElsewhere();
        }

        /** Guards against the same if only the clock in the answer to a start shows the restart. */
        @Test
        void lapseInTimeWhenAWorkerIsLostBeforeItsRestartIsKnown() {
            lead();
            workers.restart("w1");
            submit(1, false);
            while (workers.starts.isEmpty()) {
                time.advance(1);
            }
            time.advance(11);
            loseWorker();
            time.advance(15_000);
            assertRestartedElsewhere();
        }

        /** Guards against a lease that an unknown incarnation takes for longer than was granted. */
        @Test
        void ofAnUnansweredStartAreAssumedToBeTheLongest() {
            lead();
            workers.restart("w1");
            workers.losingAnswers.add(WorkerId.of("w1"));
            submit(1, false);
            while (!workers.isRunning(TASK)) {
                time.advance(1);
            }
            workers.disconnected.add(WorkerId.of("w1"));
            register("w2");
            time.advance(9_000);
            assertEquals(WorkerId.of("w1"), workers.hostOf(TASK));
            time.advance(6_000);
            assertEquals(WorkerId.of("w2"), workers.hostOf(TASK));
            assertEquals(List.of(), workers.overlaps);
        }

        /** Guards against such a wait for the runs that the worker has listed. */
        @Test
        void ofOtherRunsLapseInTimeBesideAnUnansweredStart() {
            lead();
            submitSmall(JOB);
            time.advance(1_000);
            JobId second = JobId.of("00000000000000ab");
            workers.disconnected.add(WorkerId.of("w1"));
            submitSmall(second);
            time.advance(500);
            register("w2");
            time.advance(7_500);
            assertEquals(WorkerId.of("w2"), workers.hostOf(TASK));
            assertFalse(workers.isRunning(TaskId.of(second, 0, 0, 0)));
            time.advance(6_000);
            assertTrue(workers.isRunning(TaskId.of(second, 0, 0, 0)));
            assertEquals(List.of(), workers.overlaps);
        }

        /** Guards against runs that lapse as each list of a restarted worker resets its clock. */
        @Test
        void areRenewedThoughTheEntryOfTheNewIncarnationIsMissing() {
            lead();
            workers.restart("w1");
            submit(1, false);
            time.advance(30_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(1, workers.starts.size());
        }
    }
}
