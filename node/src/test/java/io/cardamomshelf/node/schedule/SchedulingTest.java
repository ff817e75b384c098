package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.node.FakeStore.Trouble;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.StoredRecord;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** One scheduler with a store and workers in memory: runs, leases, failed calls and ends. */
class SchedulingTest extends SchedulingFixture {

    @Nested
    class OneScheduler {

        @Test
        void runsAJobToItsEnd() {
            setUp("w1");
            Process process = new Process("one");
            time.pass(4_000);
            assertTrue(process.scheduling.isLeading());
            submit(1, false);
            time.pass(1_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(JobState.RUNNING, process.state());
            workers.finish("w1", TASK, RunEnd.DONE);
            time.pass(2_000);
            assertEquals(JobState.COMPLETED, process.state());
            assertEquals(List.of(), workers.worker("w1").ended);
        }

        @Test
        void renewsTheLeasesOfRunningTasks() {
            setUp("w1");
            new Process("one");
            time.pass(4_000);
            submit(1, false);
            time.pass(60_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(1, workers.starts.size());
        }

        @Test
        void doesNotCallAnIdleWorker() {
            setUp("w1");
            new Process("one");
            time.pass(5_000);
            int renewals = workers.worker("w1").renewals;
            time.pass(30_000);
            assertEquals(renewals, workers.worker("w1").renewals);
        }

        @Test
        void restartsATaskOnlyAfterTheLeaseOfItsUnresponsiveWorkerHasLapsed() {
            setUp("w1");
            new Process("one");
            time.pass(4_000);
            submit(1, false);
            time.pass(1_000);
            store.write(Stream.WORKERS, record("w2"));
            workers.disconnected.add(WorkerId.of("w1"));
            time.pass(5_000);
            assertEquals(1, workers.starts.size());
            time.pass(7_000);
            assertEquals(2, workers.starts.size());
            assertEquals(List.of(), workers.overlaps);
        }

        @Test
        void restartsATaskAtOnceWhenAnotherIncarnationAnswersForItsWorker() {
            setUp("w1", "w2");
            new Process("one");
            time.pass(4_000);
            submit(1, false);
            time.pass(1_000);
            workers.replace(workers.hostOf(TASK));
            time.pass(2_500);
            assertEquals(2, workers.starts.size());
            assertTrue(workers.isRunning(TASK));
        }

        @Test
        void doesNotCallALostWorkerUntilItRegistersAgain() {
            setUp("w1");
            new Process("one");
            time.pass(4_000);
            submit(1, false);
            time.pass(1_000);
            workers.disconnected.add(WorkerId.of("w1"));
            store.write(Stream.WORKERS, StoredRecord.dropped("w1"));
            time.pass(20_000);
            int renewals = workers.worker("w1").renewals;
            time.pass(30_000);
            assertEquals(renewals, workers.worker("w1").renewals);
            workers.disconnected.clear();
            store.write(Stream.WORKERS, record("w1"));
            time.pass(2_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(List.of(), workers.overlaps);
        }

        @Test
        void leavesEndsUnacknowledgedWhileTheStoreIsUnreachable() {
            setUp("w1");
            Process process = new Process("one");
            time.pass(4_000);
            submit(1, false);
            time.pass(1_000);
            store.trouble = Trouble.REFUSING;
            workers.finish("w1", TASK, RunEnd.DONE);
            time.pass(3_000);
            assertEquals(1, workers.worker("w1").ended.size());
            assertTrue(
                    workers.worker("w1").renewals < 40,
                    "renewals: " + workers.worker("w1").renewals);
            store.trouble = Trouble.NONE;
            time.pass(3_000);
            assertEquals(JobState.COMPLETED, process.state());
            assertEquals(List.of(), workers.worker("w1").ended);
        }

        @Test
        void stopsARunWhoseStartAnswersAreLostAndRestartsTheTask() {
            setUp("w1");
            new Process("one");
            time.pass(4_000);
            workers.losingAnswers.add(WorkerId.of("w1"));
            submit(1, false);
            time.pass(1_600);
            workers.losingAnswers.clear();
            time.pass(4_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(List.of(), workers.overlaps);
        }
    }
}
