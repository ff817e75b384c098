package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.node.FakeStore.Fault;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.store.JobRecords;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests how one scheduler handles runs, leases, failed calls and ends of runs. */
class SchedulingTest extends SchedulingFixture {

    @Nested
    class OneScheduler {

        @Test
        void runsAJobToItsEnd() {
            storeConfigurationAndWorkers("w1");
            Process process = new Process("one");
            time.advance(4_000);
            assertTrue(process.candidate.isLeading());
            submit(1, false);
            time.advance(1_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(JobState.RUNNING, process.state());
            workers.finish("w1", TASK, RunEnd.DONE);
            time.advance(2_000);
            assertEquals(JobState.COMPLETED, process.state());
            assertEquals(List.of(), workers.worker("w1").ended);
        }

        @Test
        void renewsTheLeasesOfRunningTasks() {
            storeConfigurationAndWorkers("w1");
            new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(60_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(1, workers.starts.size());
        }

        @Test
        void keepsTheRunsOfAWorkerThatAnswersSlowly() {
            setMaxLease(6_000);
            storeConfigurationAndWorkers("w1", "w2");
            new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            workers.renewalDelayMillis.put(workers.hostOf(TASK), 1_300L);
            time.advance(30_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(1, workers.starts.size());
        }

        @Test
        void keepsTheRunsOfAWorkerThatIsSilentForTwoSeconds() {
            setMaxLease(6_000);
            storeConfigurationAndWorkers("w1", "w2");
            new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            workers.disconnected.add(workers.hostOf(TASK));
            time.advance(2_000);
            workers.disconnected.clear();
            time.advance(30_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(1, workers.starts.size());
        }

        @Test
        void doesNotCallAnIdleWorker() {
            storeConfigurationAndWorkers("w1");
            new Process("one");
            time.advance(5_000);
            int renewals = workers.worker("w1").renewals;
            time.advance(30_000);
            assertEquals(renewals, workers.worker("w1").renewals);
        }

        @Test
        void restartsATaskOnlyAfterTheLeaseOfItsUnresponsiveWorkerHasLapsed() {
            storeConfigurationAndWorkers("w1");
            new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            store.write(Stream.WORKERS, record("w2"));
            workers.disconnected.add(WorkerId.of("w1"));
            time.advance(5_000);
            assertEquals(1, workers.starts.size());
            time.advance(7_000);
            assertEquals(2, workers.starts.size());
            assertEquals(List.of(), workers.overlaps);
        }

        @Test
        void restartsATaskAtOnceWhenAnotherIncarnationAnswersForItsWorker() {
            storeConfigurationAndWorkers("w1", "w2");
            new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            workers.replace(workers.hostOf(TASK));
            time.advance(2_500);
            assertEquals(2, workers.starts.size());
            assertTrue(workers.isRunning(TASK));
        }

        @Test
        void doesNotCallALostWorkerUntilItRegistersAgain() {
            storeConfigurationAndWorkers("w1");
            new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            workers.disconnected.add(WorkerId.of("w1"));
            store.write(Stream.WORKERS, StoredRecord.tombstone("w1"));
            time.advance(20_000);
            int renewals = workers.worker("w1").renewals;
            time.advance(30_000);
            assertEquals(renewals, workers.worker("w1").renewals);
            workers.disconnected.clear();
            store.write(Stream.WORKERS, record("w1"));
            time.advance(2_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(List.of(), workers.overlaps);
        }

        @Test
        void leavesEndsUnacknowledgedWhileTheStoreIsUnreachable() {
            storeConfigurationAndWorkers("w1");
            Process process = new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            store.fault = Fault.REFUSING;
            workers.finish("w1", TASK, RunEnd.DONE);
            time.advance(3_000);
            assertEquals(1, workers.worker("w1").ended.size());
            assertTrue(
                    workers.worker("w1").renewals < 40,
                    "renewals: " + workers.worker("w1").renewals);
            store.fault = Fault.NONE;
            time.advance(3_000);
            assertEquals(JobState.COMPLETED, process.state());
            assertEquals(List.of(), workers.worker("w1").ended);
        }

        private void cancelOnRefusingWorker(long refusingMillis) {
            storeConfigurationAndWorkers("w1");
            new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            workers.refusing.add(WorkerId.of("w1"));
            store.write(Stream.JOBS, JobRecords.cancelled(JOB));
            time.advance(refusingMillis);
            workers.refusing.clear();
        }

        /** Guards against a refused stop that is taken for carried out. */
        @Test
        void repeatsAStopThatAnUnhealthyWorkerRefused() {
            cancelOnRefusingWorker(1_500);
            assertTrue(workers.isRunning(TASK));
            time.advance(1_000);
            assertFalse(workers.isRunning(TASK));
            int stops = workers.stops.size();
            time.advance(5_000);
            assertEquals(stops, workers.stops.size());
        }

        @Test
        void repeatsARefusedStopAtIntervals() {
            cancelOnRefusingWorker(2_000);
            assertTrue(workers.stops.size() < 10, "stops: " + workers.stops.size());
        }

        @Test
        void stopsARunWhoseStartAnswersAreLostAndRestartsTheTask() {
            storeConfigurationAndWorkers("w1");
            new Process("one");
            time.advance(4_000);
            workers.losingAnswers.add(WorkerId.of("w1"));
            submit(1, false);
            time.advance(1_600);
            workers.losingAnswers.clear();
            time.advance(4_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(List.of(), workers.overlaps);
        }
    }

    /** Guards against a job that counts as begun though no worker has taken a start of it. */
    @Nested
    class PendingJobs {

        @Test
        void areThoseOfWhichNoWorkerHasTakenAStart() {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            time.advance(4_000);
            workers.disconnected.add(WorkerId.of("w1"));
            submit(1, false);
            time.advance(3_000);
            assertTrue(workers.starts.size() > 0);
            assertEquals(1, one.candidate.jobs().countPending(QUEUE.name()));
            assertEquals(JobState.QUEUED, one.state());
            workers.disconnected.clear();
            time.advance(20_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(0, one.candidate.jobs().countPending(QUEUE.name()));
            assertEquals(JobState.RUNNING, one.state());
        }
    }
}
