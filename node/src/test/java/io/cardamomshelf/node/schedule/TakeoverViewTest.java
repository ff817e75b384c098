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
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests schedulers whose views of the jobs or the workers were loaded again, or differ. */
class TakeoverViewTest extends SchedulingFixture {

    private static final JobId SECOND = JobId.of("00000000000000ab");

    @Nested
    class JobsLoadedAgain {

        /** Longer than the scheduler takes to forget an ended job, in milliseconds. */
        private static final long CLEANUP_MILLIS = 6_000;

        /** Guards against a second run of tasks whose jobs have ended. */
        @ParameterizedTest
        @CsvSource({"UNRESPONSIVE, 3000, 3000", "REFUSING, 1000, 2000"})
        void duringATermDoNotRunAgain(Fault outage, long outageMillis, long recoveryMillis) {
            storeConfigurationAndWorkers("w1");
            Process one = new Process("one");
            time.advance(4_000);
            submit(1, false);
            time.advance(1_000);
            workers.finish("w1", TASK, RunEnd.DONE);
            time.advance(CLEANUP_MILLIS);
            assertEquals(JobState.COMPLETED, one.state());
            store.fault = outage;
            time.advance(outageMillis);
            submit(SECOND, 1, false);
            store.dropHistory(Stream.JOBS);
            store.fault = Fault.NONE;
            time.advance(recoveryMillis);
            assertTrue(one.candidate.isLeading());
            assertEquals(JobState.COMPLETED, one.state());
            assertEquals(2, workers.starts.size());
            assertEquals(SECOND, workers.starts.get(1).task().job());
            assertTrue(workers.isRunning(workers.starts.get(1).task()));
        }
    }

    @Nested
    class RegistryEntriesThatExpired {

        /** Guards against two schedulers that each have a majority of other workers. */
        @Test
        void doNotLetTheSuccessorIgnoreThePredecessorsWorkers() {
            storeConfigurationAndWorkers("w1", "w2", "w3");
            Process one = new Process("one");
            time.advance(4_000);
            for (int i = 0; i < 8; i++) {
                submitSmall(JobId.of(String.format("%016x", 0xb00 + i)));
            }
            time.advance(1_000);
            Process two = new Process("two");
            time.advance(1_000);
            one.links.disconnectStore();
            one.links.disconnectWorker("w3");
            time.advance(1_000);
            for (String name : List.of("w1", "w2")) {
                two.links.disconnectWorker(name);
                store.write(Stream.WORKERS, StoredRecord.tombstone(name));
            }
            time.advance(60_000);
            assertTrue(two.candidate.isLeading());
            assertEquals(List.of(), workers.overlaps);
            assertEquals(8, workers.running().get(WorkerId.of("w3")).size());
        }
    }

    @Nested
    class StoredRoster {

        private boolean containsFirstWorker() {
            return store.records(Stream.JOBS).stream()
                    .filter(record -> record.key().equals("w:w1"))
                    .reduce((earlier, later) -> later)
                    .filter(record -> !record.isTombstone())
                    .isPresent();
        }

        /** Guards against runs on a worker that a successor doesn't know of. */
        @Test
        void containsAWorkerThatRegisteredAgainBeforeItsNextRun() {
            storeConfigurationAndWorkers("w1");
            new Process("one");
            time.advance(4_000);
            submit(2, false);
            time.advance(1_000);
            store.write(Stream.WORKERS, StoredRecord.tombstone("w1"));
            time.advance(1_000);
            TaskId first = workers.starts.get(0).task();
            workers.finish("w1", first, RunEnd.DONE);
            time.advance(6_000);
            assertFalse(containsFirstWorker());
            List<Boolean> known = new ArrayList<>();
            workers.onStart = () -> known.add(containsFirstWorker());
            store.appendMillis = 300;
            store.write(Stream.WORKERS, record("w1"));
            time.advance(3_000);
            assertEquals(List.of(true), known);
        }
    }

    @Nested
    class SchedulerWithoutTheStore {

        /** Guards against a restart of runs whose leases a successor renews. */
        @Test
        void doesNotRestartRunsOfAWorkerThatItsSuccessorReaches() {
            storeConfigurationAndWorkers("w1", "w2", "w3");
            Process one = new Process("one");
            time.advance(4_000);
            submit(2, false);
            time.advance(1_000);
            String host = workers.starts.get(0).worker().value();
            Process two = new Process("two");
            time.advance(1_000);
            one.links.disconnectStore();
            for (String name : List.of("w1", "w2", "w3")) {
                (name.equals(host) ? one : two).links.disconnectWorker(name);
            }
            time.advance(20_000);
            assertTrue(two.candidate.isLeading());
            assertEquals(List.of(), workers.overlaps);
            assertTrue(workers.isRunning(workers.starts.get(0).task()));
        }
    }
}
