package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.node.port.KeyedStore;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests jobs whose progress grows with what they have done. */
class LongProgressTest extends SchedulingFixture {

    private static final int OCCURRENCES = 200;
    private static final JobId OTHER = JobId.of("00000000000000ab");
    private static final TaskId OTHER_TASK = TaskId.of(OTHER, 0, 0, 0);

    private Process process;

    private void leadWithRecordsUpTo(int bytes) {
        store.limits = new KeyedStore.Limits(bytes, 10 * bytes);
        storeConfigurationAndWorkers("w1", "w2");
        process = new Process("one");
        awaitLeading(process);
        time.advance(1_000);
    }

    /** Finishes those running tasks of the job that have this index. */
    private void finishTasks(int index) {
        workers.running()
                .forEach(
                        (worker, tasks) ->
                                tasks.stream()
                                        .filter(task -> task.job().equals(JOB))
                                        .filter(task -> task.index() <= index)
                                        .forEach(
                                                task ->
                                                        workers.finish(
                                                                worker.value(),
                                                                task,
                                                                RunEnd.DONE)));
        time.advance(300);
    }

    /** Guards against a record that grows with each occurrence until the store refuses it. */
    @Nested
    class AJobWithManyOccurrences {

        @Test
        void completesThoughTheStoreTakesOnlyShortRecords() {
            leadWithRecordsUpTo(1_000);
            submitRepeated(JOB, 1, OCCURRENCES);
            time.advance(500);
            for (int i = 0; i < 100 && !process.state().isEnded(); i++) {
                finishTasks(0);
            }
            assertEquals(JobState.COMPLETED, process.state());
            assertEquals(OCCURRENCES, workers.starts.size());
        }

        @Test
        void goesOnWhereItWasAfterAChangeOfScheduler() {
            leadWithRecordsUpTo(1_000);
            submitRepeated(JOB, 1, OCCURRENCES);
            time.advance(500);
            for (int i = 0; i < 5; i++) {
                finishTasks(0);
            }
            process.candidate.resign().subscribe().with(done -> {});
            process = new Process("two");
            awaitLeading(process);
            for (int i = 0; i < 100 && !process.state().isEnded(); i++) {
                finishTasks(0);
            }
            assertEquals(JobState.COMPLETED, process.state());
            assertEquals(List.of(), workers.repeats);
            assertEquals(OCCURRENCES, workers.starts.size());
        }
    }

    /** Guards against heartbeats and other jobs that wait behind a record that is refused. */
    @Nested
    class AJobWhoseProgressTheStoreCannotTake {

        @Test
        void failsAndHoldsUpNothingElse() {
            leadWithRecordsUpTo(800);
            submitRepeated(JOB, 2, OCCURRENCES);
            time.advance(500);
            for (int i = 0; i < 10; i++) {
                finishTasks(0);
            }
            assertEquals(JobState.FAILED, process.state());
            submitSmall(OTHER);
            time.advance(500);
            workers.finish(workers.hostOf(OTHER_TASK).value(), OTHER_TASK, RunEnd.DONE);
            time.advance(500);
            assertEquals(
                    JobState.COMPLETED, process.candidate.jobs().find(OTHER).orElseThrow().state());
            time.advance(10_000);
            assertTrue(process.candidate.isLeading());
            assertTrue(workers.running().values().stream().allMatch(tasks -> tasks.isEmpty()));
        }
    }
}
