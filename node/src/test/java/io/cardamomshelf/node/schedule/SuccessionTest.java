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
import io.cardamomshelf.node.port.StoreException;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.store.JobRecords;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests elections and takeovers between processes that share a store and workers. */
class SuccessionTest extends SchedulingFixture {

    /** Well below the time without heartbeats that leads to an election, in milliseconds. */
    private static final long TRANSFER_LIMIT_MILLIS = 700;

    private static final WorkerId W2 = WorkerId.of("w2");
    private static final JobId SECOND = JobId.of("00000000000000ab");
    private static final JobId THIRD = JobId.of("00000000000000ac");

    /** All instances lose power at the same time, and start again some seconds later. */
    @Nested
    class RestartOfAllInstances {

        private static final long DOWN_MILLIS = 3_300;

        private void startTaskAndLosePower() {
            setMaxLease(6_000);
            reportWorkerClocks();
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            one.links.disconnectAll("w1");
        }

        @Test
        void keepsRunsForTheTimeThatItTakes() {
            startTaskAndLosePower();
            time.advance(DOWN_MILLIS);
            new Process("one");
            time.advance(10_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(1, workers.starts.size());
        }

        @Test
        void renewsLeasesWithTheFirstCallThatDoesNotWaitForEnds() {
            startTaskAndLosePower();
            time.advance(DOWN_MILLIS);
            int before = workers.worker("w1").renewals;
            Process restarted = new Process("one");
            awaitLeading(restarted);
            time.advance(1);
            assertTrue(workers.worker("w1").renewedLeaseEnds.get(before).isPresent());
            time.advance(50);
            assertTrue(workers.worker("w1").renewals > before + 1);
        }
    }

    @Nested
    class SchedulerThatCannotReadTheJobs {

        /** Guards against a scheduler that keeps the leadership and starts no accepted job. */
        @Test
        void isReplacedThoughItsHeartbeatsAreStored() {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            awaitLeading(one);
            Process two = new Process("two");
            time.advance(1_000);
            one.links.hangReads();
            submit(1, false);
            time.advance(9_000);
            assertFalse(one.candidate.isLeading());
            assertTrue(two.candidate.isLeading());
            assertTrue(workers.isRunning(TASK));
            assertEquals(1, workers.starts.size());
        }

        /** Guards against a change of scheduler in an outage, in which no process can read. */
        @Test
        void keepsTheLeadershipWhileNothingIsStored() {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            awaitLeading(one);
            store.fault = Fault.UNRESPONSIVE;
            time.advance(9_000);
            assertTrue(one.candidate.isLeading());
        }
    }

    @Nested
    class Candidates {

        @Test
        void electExactlyOneScheduler() {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            Process two = new Process("two");
            time.advance(8_000);
            assertTrue(one.candidate.isLeading() ^ two.candidate.isLeading());
        }

        /** Guards against two schedulers of one epoch, which start the same tasks. */
        @Test
        void withEqualRandomNumbersElectExactlyOneScheduler() {
            storeConfigurationAndWorkers("w1", "w2");
            Process one = new Process("one", 1, new Random(1));
            Process two = new Process("two", 1, new Random(1));
            for (int i = 0; i < 20; i++) {
                submitSmall(JobId.of(String.format("%016x", 0xb00 + i)));
            }
            time.advance(8_000);
            assertTrue(one.candidate.isLeading() ^ two.candidate.isLeading());
            assertEquals(List.of(), workers.overlaps);
            assertEquals(16, workers.starts.size());
        }

        @Test
        void onSmallNodesLeaveLeadershipToALargerNode() {
            storeConfigurationAndWorkers("w1");
            Process small = new Process("small", 0.36);
            Process other = new Process("other", 0.36);
            Process large = new Process("large", 1.5);
            advanceUntil(large.candidate::isLeading);
            large.candidate.resign().subscribe().with(done -> {});
            Process next = new Process("next", 0.75);
            advanceUntil(next.candidate::isLeading);
            assertFalse(small.candidate.isLeading() || other.candidate.isLeading());
        }

        @Test
        void onASmallNodeAreElectedIfThereIsNoOther() {
            storeConfigurationAndWorkers("w1");
            Process small = new Process("small", 0.36);
            awaitLeading(small);
        }

        @Test
        void keepLeadershipWhileAppendsAreSlow() {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            time.advance(4_000);
            Process two = new Process("two");
            store.appendMillis = 300;
            for (int i = 0; i < 100; i++) {
                submit(JobId.of(String.format("%016x", 0xb00 + i)), 1, false);
                time.advance(100);
            }
            assertTrue(one.candidate.isLeading());
            assertFalse(two.candidate.isLeading());
        }

        @Test
        void takeOverFromAResignedSchedulerWithoutStoppingRuns() {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            Process two = new Process("two");
            time.advance(1_000);
            one.candidate.resign().subscribe().with(done -> {});
            time.advance(1_500);
            assertFalse(one.candidate.isLeading());
            assertTrue(two.candidate.isLeading());
            workers.finish("w1", TASK, RunEnd.DONE);
            time.advance(2_000);
            assertEquals(JobState.COMPLETED, two.state());
            assertEquals(1, workers.starts.size());
        }

        @Test
        void takeOverAtOnceFromASchedulerThatResignsBeforeItsFirstRound() {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            time.advance(500);
            Process two = new Process("two");
            advanceUntil(() -> !store.records(Stream.JOBS).isEmpty());
            assertFalse(one.candidate.isLeading());
            one.candidate.resign().subscribe().with(done -> {});
            time.advance(TRANSFER_LIMIT_MILLIS);
            assertTrue(two.candidate.isLeading());
        }

        /** Guards against a resignation by a process that has lost its election. */
        @Test
        void thatLostAnElectionDoNotResignForTheWinner() throws StoreException {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one", 1, new Random(1));
            Process two = new Process("two", 1, new Random(1));
            advanceUntil(() -> !store.records(Stream.JOBS).isEmpty());
            time.advance(1);
            List<Boolean> resigned = new ArrayList<>();
            two.candidate.resign().subscribe().with(done -> resigned.add(true));
            time.advance(1_000);
            assertTrue(one.candidate.isLeading());
            assertEquals(List.of(true), resigned);
            for (StoredRecord record : store.records(Stream.JOBS)) {
                if (JobRecords.kindOf(record) == JobRecords.Kind.LEADER) {
                    assertEquals("one", JobRecords.read(record, JobRecords.Leader.class).holder());
                }
            }
        }

        @Test
        void takeOverAtOnceFromAProcessThatResignsDuringItsElection() {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            time.advance(500);
            Process two = new Process("two");
            advanceUntil(() -> store.appends > 0);
            assertEquals(List.of(), store.records(Stream.JOBS));
            one.candidate.resign().subscribe().with(done -> {});
            time.advance(TRANSFER_LIMIT_MILLIS);
            assertTrue(two.candidate.isLeading());
        }

        @Test
        void doNotBothStartATaskAfterAStoreOutage() {
            storeConfigurationAndWorkers("w1", "w2");
            Process one = new Process("one");
            Process two = new Process("two");
            time.advance(8_000);
            submit(1, false);
            time.advance(500);
            store.fault = Fault.UNRESPONSIVE;
            time.advance(20_000);
            store.fault = Fault.NONE;
            time.advance(10_000);
            assertTrue(one.candidate.isLeading() ^ two.candidate.isLeading());
            assertTrue(workers.isRunning(TASK));
            assertEquals(List.of(), workers.overlaps);
            assertEquals(1, workers.starts.size());
        }

        @Test
        void waitForLeasesOfUnregisteredWorkersAfterATimeWithoutAScheduler() {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            workers.disconnected.add(WorkerId.of("w1"));
            store.write(Stream.WORKERS, record("w2"));
            store.write(Stream.WORKERS, StoredRecord.tombstone("w1"));
            one.candidate.resign().subscribe().with(done -> {});
            time.advance(500);
            Process two = new Process("two");
            time.advance(3_000);
            assertTrue(two.candidate.isLeading());
            assertEquals(1, workers.starts.size());
            time.advance(4_000);
            assertEquals(2, workers.starts.size());
            assertEquals(List.of(), workers.overlaps);
        }

        @Test
        void doNotBothRunATaskWhenThePredecessorReachesOnlyItsWorker() {
            storeConfigurationAndWorkers("w1", "w2", "w3");
            Process one = new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            String host = workers.starts.get(0).worker().value();
            Process two = new Process("two");
            time.advance(1_000);
            one.links.disconnectStore();
            for (String name : List.of("w1", "w2", "w3")) {
                (name.equals(host) ? two : one).links.disconnectWorker(name);
            }
            time.advance(30_000);
            assertTrue(two.candidate.isLeading());
            assertEquals(2, workers.starts.size());
            assertEquals(List.of(), workers.overlaps);
        }

        @Test
        void startAcceptedJobsOnceAllWorkersHaveReportedAfterATimeWithoutAScheduler() {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            time.advance(4_000);
            one.candidate.resign().subscribe().with(done -> {});
            time.advance(500);
            submit(1, false);
            Process two = new Process("two");
            awaitLeading(two);
            time.advance(500);
            assertEquals(1, workers.starts.size());
        }

        @Test
        void waitForASingleLeaseAfterAPredecessorOnTheSameNode() {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            one.links.disconnectStore();
            one.links.disconnectWorker("w1");
            workers.disconnected.add(WorkerId.of("w1"));
            store.write(Stream.WORKERS, record("w2"));
            Process restarted = new Process("one");
            awaitLeading(restarted);
            time.advance(5_000);
            assertEquals(1, workers.starts.size());
            time.advance(1_800);
            assertEquals(2, workers.starts.size());
            assertEquals(List.of(), workers.overlaps);
        }

        @Test
        void startAtOnceAJobAcceptedWithoutASchedulerDespiteAnUnresponsiveWorker() {
            storeConfigurationAndWorkers("w1", "w2");
            Process one = new Process("one");
            time.advance(4_000);
            one.candidate.resign().subscribe().with(done -> {});
            time.advance(500);
            workers.disconnected.add(WorkerId.of("w1"));
            submit(1, false);
            Process two = new Process("two");
            awaitLeading(two);
            time.advance(500);
            assertEquals(1, workers.starts.size());
        }

        @Test
        void startAtOnceAJobThatWaitedForCapacityDespiteAnUnresponsiveWorkerThatNeverHostedIt() {
            storeConfigurationAndWorkers("w1", "w2");
            Process one = new Process("one");
            time.advance(4_000);
            submit(1, false);
            submit(SECOND, 1, false);
            time.advance(1_000);
            submit(THIRD, 1, false);
            time.advance(1_000);
            workers.disconnected.add(workers.hostOf(TASK));
            one.links.disconnectAll("w1", "w2");
            Process two = new Process("two");
            awaitLeading(two);
            time.advance(500);
            TaskId second = TaskId.of(SECOND, 0, 0, 0);
            workers.finish(workers.hostOf(second).value(), second, RunEnd.DONE);
            time.advance(1_000);
            assertTrue(workers.isRunning(TaskId.of(THIRD, 0, 0, 0)));
            assertEquals(3, workers.starts.size());
            assertEquals(List.of(), workers.overlaps);
        }

        @Test
        void restartAtOnceATaskWhoseWorkerWasReplacedAtItsAddress() {
            storeConfigurationAndWorkers("w1", "w2", "w3");
            Process one = new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            workers.replace(workers.hostOf(TASK));
            one.links.disconnectAll("w1", "w2", "w3");
            Process two = new Process("two");
            awaitLeading(two);
            time.advance(1_000);
            assertTrue(workers.isRunning(TASK));
        }

        @Test
        void delayTasksThatMayStillRunOnAnUnresponsiveWorker() {
            storeConfigurationAndWorkers("w1", "w2", "w3");
            Process one = new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            workers.disconnected.add(workers.hostOf(TASK));
            one.links.disconnectAll("w1", "w2", "w3");
            Process two = new Process("two");
            awaitLeading(two);
            time.advance(4_000);
            assertEquals(1, workers.starts.size());
            time.advance(5_000);
            assertEquals(2, workers.starts.size());
            assertEquals(List.of(), workers.overlaps);
        }

        @Test
        void doNotUseAWorkerThatLeftBeforeTheirRestart() {
            storeConfigurationAndWorkers("w1", "w2");
            Process one = new Process("one");
            time.advance(4_000);
            store.write(Stream.WORKERS, StoredRecord.tombstone("w1"));
            time.advance(1_000);
            one.links.disconnectAll("w1", "w2");
            new Process("one");
            time.advance(1_000);
            submit(2, false);
            time.advance(20_000);
            assertEquals(1, workers.starts.size());
            assertEquals(W2, workers.starts.get(0).worker());
        }

        @Test
        void findEveryWorkerThatMayHaveRunsInTheStore() {
            storeConfigurationAndWorkers("w1", "w2");
            new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            long storedWorkers =
                    store.records(Stream.JOBS).stream()
                            .filter(record -> JobRecords.kindOf(record) == JobRecords.Kind.WORKER)
                            .count();
            assertEquals(2, storedWorkers);
        }

        @Test
        void followTheStreamAfterItsHistoryWasDropped() {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            time.advance(4_000);
            submit(1, false);
            store.dropHistory(Stream.JOBS);
            Process two = new Process("two");
            time.advance(3_000);
            assertTrue(one.candidate.isLeading() ^ two.candidate.isLeading());
            assertEquals(JobState.RUNNING, one.state());
            assertEquals(JobState.RUNNING, two.state());
        }
    }
}
