package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.running;
import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskJob;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests a job whose tasks start one by one, each of them only once it is in a stored record. */
class RecordedTasksTest {

    private static final int TASKS = 40;

    private final SchedulerFixture fixture = new SchedulerFixture();
    private JobProgress stored;

    /** Runs a job of single tasks on one of two workers, up to its latest stored record. */
    private void runOnAnEarlierScheduler() {
        SchedulerFixture earlier = new SchedulerFixture();
        earlier.state.endInheritance();
        earlier.addIdleWorker("w1", "r1-1");
        earlier.state.addJob(job(), Optional.empty());
        assertEquals(List.of(), earlier.decideStarts());
        storeProgress(earlier);
        earlier.startAll();
        assertEquals(List.of(), earlier.decideStarts());
        storeProgress(earlier);
    }

    private TaskJob job() {
        JobRequest request =
                new JobRequest("x", List.of(step(TASKS, 1_000, 1_000, 1).build()), 0, 0, 0);
        return new TaskJob(
                SchedulerFixture.job(1),
                SchedulerFixture.ORGANISATION,
                SchedulerFixture.queue(1),
                1,
                request);
    }

    private void storeProgress(SchedulerFixture scheduler) {
        JobProgress changed = scheduler.state.takeChangedProgress().get(SchedulerFixture.job(1));
        if (changed != null) {
            stored = changed;
            scheduler.state.confirmProgressStored(SchedulerFixture.job(1));
        }
    }

    private List<Order.Start> takeOverWithOneSilentWorker() {
        runOnAnEarlierScheduler();
        fixture.state.addJob(job(), Optional.of(stored));
        fixture.registerWorker("w1", "r1-1").registerWorker("w2", "r1-1");
        fixture.state.endInheritance();
        fixture.report("w2");
        assertEquals(List.of(), fixture.decideStarts());
        storeProgress(fixture);
        return fixture.startAll();
    }

    /** Guards against tasks that wait for a silent worker on which they can't run. */
    @Nested
    class ANewScheduler {

        @Test
        void startsTasksThatWereNotRecordedThoughAWorkerIsSilent() {
            assertEquals(8, takeOverWithOneSilentWorker().size());
        }

        @Test
        void startsNoTaskThatMayRunOnTheSilentWorker() {
            for (Order.Start start : takeOverWithOneSilentWorker()) {
                assertTrue(start.task().index() >= 8, start.task().toString());
            }
            fixture.addIdleWorker("w3", "r1-1").addIdleWorker("w4", "r1-1");
            fixture.decideStarts();
            storeProgress(fixture);
            for (Order.Start start : fixture.startAll()) {
                assertTrue(start.task().index() >= 8, start.task().toString());
            }
            fixture.state.markWorkerLost(SchedulerFixture.worker("w1"), Long.MAX_VALUE);
            fixture.addIdleWorker("w5", "r1-1");
            assertTrue(fixture.startAll().stream().anyMatch(start -> start.task().index() < 8));
        }

        /** A third scheduler doesn't know what the silent worker was told by the first one. */
        @Test
        void keepsTheRecordOfTasksThatMayRunOnTheSilentWorker() {
            takeOverWithOneSilentWorker();
            fixture.decideStarts();
            storeProgress(fixture);
            for (int i = 0; i < 8; i++) {
                assertTrue(stored.tasks().contains(0, 0, i), "task " + i);
            }
            assertFalse(stored.tasks().contains(0, 0, TASKS - 1));
        }
    }

    @Nested
    class AScheduler {

        @Test
        void startsNoTaskBeforeItIsRecorded() {
            SchedulerFixture scheduler = new SchedulerFixture();
            scheduler.state.endInheritance();
            scheduler.addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");
            scheduler.state.addJob(job(), Optional.empty());
            assertEquals(List.of(), scheduler.decideStarts());
            storeProgress(scheduler);
            assertEquals(16, scheduler.startAll().size());
            scheduler.addIdleWorker("w3", "r1-1").addIdleWorker("w4", "r1-1");
            assertEquals(List.of(), scheduler.decideStarts());
            storeProgress(scheduler);
            assertEquals(16, scheduler.startAll().size());
        }

        /**
         * Guards against tasks that are recorded, left out by the next record, and recorded again.
         */
        @Test
        void startsRecordedTasksThoughAnotherRecordWasSentMeanwhile() {
            SchedulerFixture scheduler = new SchedulerFixture();
            scheduler.state.endInheritance();
            scheduler.addIdleWorker("w1", "r1-1");
            scheduler.state.addJob(job(), Optional.empty());
            scheduler.decideStarts();
            storeProgress(scheduler);
            List<Order.Start> first = scheduler.startAll();
            scheduler.addIdleWorker("w2", "r1-1").addIdleWorker("w3", "r1-1");
            scheduler.decideStarts();
            scheduler.state.takeChangedProgress();
            WorkerLists.Running[] others =
                    first.stream()
                            .skip(1)
                            .map(start -> running(start.task(), start.run()))
                            .toArray(WorkerLists.Running[]::new);
            scheduler.reportEnd(first.get(0), RunEnd.DONE, others);
            scheduler.decideStarts();
            scheduler.state.takeChangedProgress();
            scheduler.state.confirmProgressStored(SchedulerFixture.job(1));
            scheduler.state.confirmProgressStored(SchedulerFixture.job(1));
            assertEquals(17, scheduler.startAll().size());
        }

        @Test
        void startsTasksInAdvanceOfTheNextRecord() {
            SchedulerFixture scheduler = new SchedulerFixture();
            scheduler.state.endInheritance();
            scheduler.addIdleWorker("w1", "r1-1");
            scheduler.state.addJob(job(), Optional.empty());
            scheduler.decideStarts();
            storeProgress(scheduler);
            List<Order.Start> first = scheduler.startAll();
            WorkerLists.Running[] others =
                    first.stream()
                            .skip(1)
                            .map(start -> running(start.task(), start.run()))
                            .toArray(WorkerLists.Running[]::new);
            scheduler.reportEnd(first.get(0), RunEnd.DONE, others);
            scheduler.decideStarts();
            storeProgress(scheduler);
            assertEquals(1, scheduler.startAll().size());
            scheduler.addIdleWorker("w2", "r1-1");
            assertEquals(7, scheduler.startAll().size());
        }
    }
}
