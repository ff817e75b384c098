package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.StoredRecord;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests workers that restart under their identifiers on machines whose time of day was set back, so
 * that the later incarnation has the earlier start time.
 */
class WorkerClockSetBackTest extends SchedulingFixture {

    /** The longest time until a call without an answer is carried out. */
    private static final long LONGEST_DELAY_MILLIS = 12_000;

    /** The longest lease that a worker takes, on a slow clock. */
    private static final long LONGEST_LEASE_MILLIS = 10_500;

    private static final Endpoint NEW_ENDPOINT = Endpoint.parse("127.0.0.1:2");

    private final WorkerId worker = WorkerId.of("w1");
    private Process process;

    private void lead() {
        storeConfigurationAndWorkers("w1");
        process = new Process("one");
        time.advance(4_000);
    }

    private void startTask() {
        lead();
        submit(1, false);
        time.advance(1_500);
        assertTrue(workers.isRunning(TASK));
    }

    private void assertRunsOnceMore() {
        assertTrue(workers.isRunning(TASK));
        assertEquals(2, workers.starts.size());
        assertEquals(List.of(), workers.overlaps);
    }

    @Nested
    class RestartedWorkers {

        /** Guards against jobs that stand still on a worker that restarted. */
        @Test
        void getTheirLostTaskAgain() {
            startTask();
            workers.restartWithClockSetBack("w1");
            register("w1");
            time.advance(3_000);
            assertRunsOnceMore();
        }

        /** Guards against the same while the new entry isn't read, as the store is out of reach. */
        @Test
        void loseTheirTaskToAnotherWorkerThoughOnlyTheirListsShowTheRestart() {
            startTask();
            register("w2");
            time.advance(1_000);
            workers.restartWithClockSetBack("w1");
            time.advance(3_000);
            assertRunsOnceMore();
            assertEquals(WorkerId.of("w2"), workers.hostOf(TASK));
        }

        /** Guards against an idle worker that gets no more starts. */
        @Test
        void getStartsThoughTheyWereIdle() {
            lead();
            workers.restartWithClockSetBack("w1");
            register("w1");
            time.advance(1_000);
            submit(1, false);
            time.advance(1_500);
            assertTrue(workers.isRunning(TASK));
        }

        /** Guards against calls for ever as the incarnation from before the entry was removed. */
        @Test
        void getStartsIfTheirEntryWasRemovedMeanwhile() {
            lead();
            store.write(Stream.WORKERS, StoredRecord.tombstone("w1"));
            time.advance(6_000);
            workers.restartWithClockSetBack("w1");
            register("w1");
            time.advance(1_000);
            submit(1, false);
            time.advance(1_500);
            assertTrue(workers.isRunning(TASK));
            workers.finish("w1", TASK, RunEnd.DONE);
            time.advance(2_000);
            assertEquals(JobState.COMPLETED, process.state());
            assertEquals(List.of(), workers.worker("w1").ended);
        }

        /** Guards against a worker that is called at its old address only. */
        @Test
        void getTheirLostTaskAgainAtANewAddress() {
            reportWorkerMoves();
            startTask();
            workers.restartWithClockSetBack("w1");
            workers.movedTo.put(worker, NEW_ENDPOINT);
            register("w1");
            time.advance(15_000);
            assertRunsOnceMore();
        }

        @Test
        void getStartsAtANewAddressThoughTheyWereIdle() {
            reportWorkerMoves();
            lead();
            workers.restartWithClockSetBack("w1");
            workers.movedTo.put(worker, NEW_ENDPOINT);
            register("w1");
            time.advance(10_000);
            submit(1, false);
            time.advance(1_500);
            assertTrue(workers.isRunning(TASK));
        }

        /** Guards against ends with numbers that the earlier incarnation had, too. */
        @Test
        void haveTheirEndsReadAndAcknowledged() {
            startTask();
            workers.finish("w1", TASK, RunEnd.FAILED);
            time.advance(1_500);
            assertTrue(workers.isRunning(TASK));
            workers.restartWithClockSetBack("w1");
            register("w1");
            time.advance(3_000);
            assertTrue(workers.isRunning(TASK));
            workers.finish("w1", TASK, RunEnd.DONE);
            time.advance(2_000);
            assertEquals(JobState.COMPLETED, process.state());
            assertEquals(List.of(), workers.worker("w1").ended);
            assertEquals(List.of(), workers.unreadEnds);
            assertEquals(List.of(), workers.repeats);
        }

        /**
         * Guards against leases by the clock of the earlier incarnation. The renewal that was in
         * flight at the restart may be carried out late, and then grants the longest lease.
         */
        @Test
        void loseTheirRunsInTimeOnceTheyAreCutOff() {
            startTask();
            workers.restartWithClockSetBack("w1");
            register("w1");
            time.advance(3_000);
            register("w2");
            workers.disconnected.add(worker);
            time.advance(LONGEST_DELAY_MILLIS + LONGEST_LEASE_MILLIS + 2_000 - 3_000);
            assertEquals(WorkerId.of("w2"), workers.hostOf(TASK));
            assertEquals(List.of(), workers.overlaps);
        }
    }

    /** Entries of another incarnation than the one that answers, written late. */
    @Nested
    class LateEntries {

        private void assertTheWorkerGoesOn() {
            time.advance(3_000);
            assertTrue(workers.isRunning(TASK));
            assertEquals(List.of(), workers.overlaps);
            JobId second = JobId.of("00000000000000ab");
            register("w1");
            workers.finish("w1", TASK, RunEnd.DONE);
            submit(second, 1, false);
            time.advance(3_000);
            assertTrue(workers.isRunning(TaskId.of(second, 0, 0, 0)));
            assertEquals(JobState.COMPLETED, process.state());
        }

        /** Guards against dropping runs of the current incarnation, which then run twice. */
        @Test
        void ofAnEndedIncarnationThatWasBornLaterDropNoRuns() {
            startTask();
            workers.restartWithClockSetBack("w1");
            register("w1");
            register("w2");
            time.advance(3_000);
            WorkerId host = workers.hostOf(TASK);
            int starts = workers.starts.size();
            store.write(Stream.WORKERS, record("w1"));
            time.advance(3_000);
            assertEquals(host, workers.hostOf(TASK));
            assertEquals(starts, workers.starts.size());
            assertEquals(List.of(), workers.overlaps);
        }

        /** Guards against the same if the entry is of an incarnation that was never seen. */
        @Test
        void ofAnUnknownIncarnationThatWasBornEarlierDropNoRuns() {
            startTask();
            register("w2");
            time.advance(1_000);
            store.write(Stream.WORKERS, record("w1", -5));
            time.advance(3_000);
            assertEquals(1, workers.starts.size());
            assertTheWorkerGoesOn();
        }

        @Test
        void ofAnUnknownIncarnationDoNotEndRunsOfAWorkerThatIsCutOffForAMoment() {
            startTask();
            register("w2");
            time.advance(1_000);
            workers.disconnected.add(worker);
            store.write(Stream.WORKERS, record("w1", -5));
            time.advance(2_000);
            workers.disconnected.clear();
            time.advance(2_000);
            assertEquals(1, workers.starts.size());
            assertTheWorkerGoesOn();
        }
    }
}
