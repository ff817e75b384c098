package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.running;
import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static io.cardamomshelf.core.schedule.SchedulerFixture.task;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.RunHosts;
import io.cardamomshelf.core.task.TaskJob;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests how a new scheduler continues with the jobs and runs of an earlier one. */
class TakeoverTest {

    private final SchedulerFixture fixture = new SchedulerFixture();

    private JobState changedState(int job) {
        Map<?, JobProgress> changed = fixture.state.takeChangedProgress();
        JobProgress progress = changed.get(SchedulerFixture.job(job));
        return progress == null ? null : progress.state();
    }

    @Nested
    class NewScheduler {

        private void inheritJob(SchedulerFixture.StepBuilder step) {
            inheritJob(step, RunHosts.ANYWHERE);
        }

        private void inheritJob(SchedulerFixture.StepBuilder step, RunHosts hosts) {
            JobRequest request = new JobRequest("x", List.of(step.build()), 0, 0, 0);
            fixture.state.addJob(
                    new TaskJob(
                            SchedulerFixture.job(1),
                            SchedulerFixture.ORGANISATION,
                            SchedulerFixture.queue(1),
                            1,
                            request),
                    Optional.of(new JobProgress(JobState.RUNNING, List.of(), hosts)));
        }

        @Test
        void startsNoInheritedJobUntilEveryWorkerHasReported() {
            inheritJob(step(1, 52_000, 270_000, 8));
            fixture.registerWorker("w1", "r1-1").registerWorker("w2", "r1-1");
            fixture.state.endInheritance();
            fixture.report("w1");
            assertEquals(List.of(), fixture.decide());
            fixture.report("w2");
            assertEquals(1, fixture.decideStarts().size());
        }

        private void inheritJobWithTwoOfThreeWorkersReported(RunHosts hosts) {
            JobRequest request =
                    new JobRequest("x", List.of(step(1, 52_000, 270_000, 8).build()), 0, 0, 0);
            fixture.state.addJob(
                    new TaskJob(
                            SchedulerFixture.job(1),
                            SchedulerFixture.ORGANISATION,
                            SchedulerFixture.queue(1),
                            1,
                            request),
                    Optional.of(new JobProgress(JobState.RUNNING, List.of(), hosts)));
            fixture.registerWorker("w1", "r1-1")
                    .registerWorker("w2", "r1-1")
                    .registerWorker("w3", "r1-1");
            fixture.state.endInheritance();
            fixture.report("w1").report("w2");
        }

        @Test
        void startsAJobOnItsRecordedHostThoughAnotherWorkerIsUnreported() {
            inheritJobWithTwoOfThreeWorkersReported(
                    RunHosts.of(List.of(SchedulerFixture.worker("w1"))));
            assertEquals("w1", fixture.decideStarts().get(0).worker().value());
        }

        @Test
        void startsNoJobThatAnUnreportedWorkerMayRun() {
            inheritJobWithTwoOfThreeWorkersReported(
                    RunHosts.of(
                            List.of(SchedulerFixture.worker("w1"), SchedulerFixture.worker("w3"))));
            assertEquals(List.of(), fixture.decide());
            fixture.report("w3");
            assertEquals(1, fixture.decideStarts().size());
        }

        @Test
        void startsNoJobWhoseOrphanedRunIsStillBeingStopped() {
            inheritJobWithTwoOfThreeWorkersReported(
                    RunHosts.of(
                            List.of(SchedulerFixture.worker("w1"), SchedulerFixture.worker("w3"))));
            fixture.report("w3", running(task(1, 0), 76), running(task(1, 0), 77));
            fixture.reportEnd("w3", task(1, 0), 76, RunEnd.STOPPED, "", running(task(1, 0), 77));
            assertEquals(List.of(), fixture.decideStarts());
            fixture.report("w3");
            assertEquals(1, fixture.decideStarts().size());
        }

        /** Guards against a job that waits for ever for a worker that is no longer called. */
        @Test
        void callsAWorkerThatHasLeftUntilItsOrphanedRunHasEnded() {
            inheritJob(
                    step(2, 52_000, 270_000, 8).gang(),
                    RunHosts.of(
                            List.of(SchedulerFixture.worker("w1"), SchedulerFixture.worker("w3"))));
            fixture.registerWorker("w1", "r1-1")
                    .registerWorker("w2", "r1-1")
                    .registerWorker("w3", "r1-1");
            fixture.state.endInheritance();
            fixture.report("w1", running(task(1, 0), 77));
            fixture.report("w3", running(task(1, 1), 76)).report("w2");
            fixture.state.removeWorker(SchedulerFixture.worker("w3"));
            fixture.reportEnd("w1", task(1, 0), 77, RunEnd.STOPPED, "");
            assertEquals(List.of(), fixture.decideStarts());
            assertTrue(fixture.state.workerReports().needsPolling(SchedulerFixture.worker("w3")));
            fixture.report("w3");
            assertEquals(SchedulerFixture.job(1), startOnceIntentIsStored().task().job());
        }

        @Test
        void startsNewJobsAtOnce() {
            fixture.registerWorker("w1", "r1-1").registerWorker("w2", "r1-1");
            fixture.state.endInheritance();
            fixture.report("w1").submit(2, 1, step(1, 52_000, 270_000, 8));
            assertEquals(1, fixture.decideStarts().size());
        }

        @Test
        void startsAJobWithoutProgressOnceItsIntentIsStoredThoughAWorkerIsUnreported() {
            JobRequest request =
                    new JobRequest("x", List.of(step(1, 52_000, 270_000, 8).build()), 0, 0, 0);
            fixture.state.addJob(
                    new TaskJob(
                            SchedulerFixture.job(1),
                            SchedulerFixture.ORGANISATION,
                            SchedulerFixture.queue(1),
                            1,
                            request),
                    Optional.empty());
            fixture.registerWorker("w1", "r1-1").registerWorker("w2", "r1-1");
            fixture.state.endInheritance();
            fixture.report("w1");
            assertEquals(List.of(), fixture.decide());
            assertEquals(JobState.QUEUED, changedState(1));
            assertEquals(List.of(), fixture.decide());
            fixture.state.confirmProgressStored(SchedulerFixture.job(1));
            assertEquals(1, fixture.startAll().size());
            assertEquals(JobState.RUNNING, changedState(1));
        }

        private Order.Start startOnceIntentIsStored() {
            assertEquals(List.of(), fixture.decideStarts());
            fixture.state.takeChangedProgress();
            fixture.state.confirmProgressStored(SchedulerFixture.job(1));
            return fixture.startAll().get(0);
        }

        @Test
        void recordsAnotherWorkerBeforeItStartsTheJobThere() {
            JobRequest request =
                    new JobRequest("x", List.of(step(1, 52_000, 270_000, 8).build()), 0, 0, 0);
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");
            fixture.state.addJob(
                    new TaskJob(
                            SchedulerFixture.job(1),
                            SchedulerFixture.ORGANISATION,
                            SchedulerFixture.queue(1),
                            1,
                            request),
                    Optional.empty());
            Order.Start first = startOnceIntentIsStored();
            fixture.reportEnd(first, RunEnd.FAILED);
            assertNotEquals(first.worker(), startOnceIntentIsStored().worker());
        }

        @Test
        void startsAJobOnItsRecordedHostAtOnceThoughAnotherOneWouldBeChosen() {
            inheritJobWithTwoOfThreeWorkersReported(
                    RunHosts.of(List.of(SchedulerFixture.worker("w2"))));
            assertEquals("w2", fixture.decideStarts().get(0).worker().value());
        }

        private void submitUrgentJobWithOneOfTwoWorkersReported() {
            inheritJob(step(1, 52_000, 270_000, 8));
            fixture.registerWorker("w1", "r1-1").registerWorker("w2", "r1-1");
            fixture.state.endInheritance();
            fixture.report("w1", running(task(1, 0), 77));
            fixture.submit(2, 0, step(1, 1_000, 1_000, 8));
            assertEquals(List.of(), fixture.decide());
        }

        @Test
        void stopsNothingForAnUrgentJobBeforeWorkersHadTimeToReport() {
            submitUrgentJobWithOneOfTwoWorkersReported();
            fixture.report("w1", running(task(1, 0), 77)).report("w2");
            assertEquals("w2", fixture.decideStarts().get(0).worker().value());
        }

        @Test
        void stopsARunForAnUrgentJobThoughAWorkerStaysUnreported() {
            submitUrgentJobWithOneOfTwoWorkersReported();
            fixture.advanceClock(600);
            assertEquals(1, fixture.decideStops().size());
        }

        @Test
        void adoptsReportedRuns() {
            inheritJob(step(1, 52_000, 270_000, 8));
            fixture.registerWorker("w1", "r1-1").registerWorker("w2", "r1-1");
            fixture.state.endInheritance();
            fixture.report("w1", running(task(1, 0), 77)).report("w2");
            assertEquals(List.of(), fixture.decide());
            fixture.reportEnd("w1", task(1, 0), 77, RunEnd.DONE, "");
            fixture.decide();
            assertEquals(JobState.COMPLETED, changedState(1));
        }

        @Test
        void keepsAGangWhoseOtherMembersAreNotReportedYet() {
            inheritJob(step(2, 52_000, 270_000, 8).gang());
            fixture.registerWorker("w1", "r1-1")
                    .registerWorker("w2", "r1-1")
                    .registerWorker("w3", "r1-1");
            fixture.state.endInheritance();
            fixture.report("w1", running(task(1, 0), 77));
            assertEquals(List.of(), fixture.decide());
            fixture.report("w2", running(task(1, 1), 77));
            assertEquals(List.of(), fixture.decide());
            fixture.report("w3");
            assertEquals(List.of(), fixture.decide());
        }

        @Test
        void stopsAGangWithAMissingMember() {
            inheritJob(step(2, 52_000, 270_000, 8).gang());
            fixture.registerWorker("w1", "r1-1").registerWorker("w2", "r1-1");
            fixture.state.endInheritance();
            fixture.report("w1", running(task(1, 0), 77)).report("w2");
            assertEquals(1, fixture.decideStops().size());
        }

        @Test
        void treatsALostWorkerAsIdle() {
            inheritJob(step(1, 52_000, 270_000, 8));
            fixture.registerWorker("w1", "r1-1").registerWorker("w2", "r1-1");
            fixture.state.endInheritance();
            fixture.report("w1");
            fixture.state.markWorkerLost(SchedulerFixture.worker("w2"), Long.MAX_VALUE);
            assertEquals(1, fixture.decideStarts().size());
        }

        @Test
        void recordsTheCheckpointOfAStoppedRun() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1");
            fixture.submit(1, 1, step(1, 52_000, 270_000, 8).checkpointing());
            Order.Start start = fixture.startAll().get(0);
            fixture.state.takeChangedProgress();
            fixture.reportEnd("w1", start.task(), start.run(), RunEnd.STOPPED, "saved");
            JobProgress stored = fixture.state.takeChangedProgress().get(SchedulerFixture.job(1));
            assertEquals("saved", stored.steps().get(0).checkpoints().get(0));
        }

        @Test
        void countsFailuresInAnyOrderOfReports() {
            inheritJob(step(1, 52_000, 270_000, 8));
            fixture.registerWorker("w1", "r1-1")
                    .registerWorker("w2", "r1-1")
                    .registerWorker("w3", "r1-1");
            fixture.state.endInheritance();
            fixture.reportEnd("w2", task(1, 0), 79, RunEnd.FAILED, "");
            fixture.reportEnd("w3", task(1, 0), 78, RunEnd.FAILED, "");
            fixture.reportEnd("w1", task(1, 0), 77, RunEnd.FAILED, "");
            assertEquals(List.of(), fixture.decide());
            assertEquals(JobState.FAILED, changedState(1));
        }

        @Test
        void countsARepeatedEndOnce() {
            inheritJob(step(1, 52_000, 270_000, 8));
            fixture.registerWorker("w1", "r1-1");
            fixture.state.endInheritance();
            fixture.reportEnd("w1", task(1, 0), 77, RunEnd.FAILED, "");
            fixture.reportEnd("w1", task(1, 0), 77, RunEnd.FAILED, "");
            fixture.reportEnd("w1", task(1, 0), 77, RunEnd.FAILED, "");
            assertEquals(1, fixture.decideStarts().size());
            assertNotEquals(JobState.FAILED, changedState(1));
        }
    }
}
