package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.job;
import static io.cardamomshelf.core.schedule.SchedulerFixture.running;
import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static io.cardamomshelf.core.schedule.SchedulerFixture.task;
import static io.cardamomshelf.core.schedule.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.RunHosts;
import io.cardamomshelf.core.task.TaskJob;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that no start brings the running tasks of an organisation above its cap. */
class OrganisationCapsTest {

    private static final int CAP = 8;

    private final SchedulerFixture fixture = new SchedulerFixture();

    private static SchedulerFixture.StepBuilder tasks(int count, int accelerators) {
        return step(count, 1_000, 1_000, accelerators);
    }

    private void addWorkers() {
        for (String name : List.of("w1", "w2", "w3", "w4")) {
            fixture.addIdleWorker(name, "r1-1");
        }
    }

    private void assertWaitsForCap(int job) {
        assertEquals(WaitReason.OVER_CAP, fixture.state.waitReasons().get(job(job)));
    }

    private static TaskJob inherited(int number, SchedulerFixture.StepBuilder step) {
        JobRequest request = new JobRequest("x", List.of(step.build()), 0, 0, 0);
        return new TaskJob(
                job(number), SchedulerFixture.ORGANISATION, SchedulerFixture.queue(1), 1, request);
    }

    @Nested
    class WithOneScheduler {

        private void begin() {
            fixture.state.endInheritance();
            addWorkers();
            fixture.capAccelerators(CAP);
        }

        @Test
        void singleTasksStartUpToTheCap() {
            begin();
            fixture.submit(1, 1, tasks(20, 1));
            assertEquals(CAP, fixture.startAll().size());
            assertWaitsForCap(1);
        }

        @Test
        void coresAndMemoryAreLimitedToo() {
            begin();
            fixture.configure(new OrganisationLimits(0, 0, Resources.of(3_000, 2_500, 0)));
            fixture.submit(1, 1, tasks(20, 1));
            assertEquals(2, fixture.startAll().size());
        }

        @Test
        void anotherOrganisationIsNotLimited() {
            begin();
            fixture.submitForOther(1, 1, tasks(20, 1));
            assertEquals(20, fixture.startAll().size());
        }

        @Test
        void aGangStartsAsAWholeOrNotAtAll() {
            begin();
            fixture.submit(1, 1, tasks(5, 1).gang()).submit(2, 1, tasks(4, 1).gang());
            assertEquals(5, fixture.startAll().size());
            assertWaitsForCap(2);
        }

        /** Guards against an organisation whose guarantee would exceed its cap. */
        @Test
        void guaranteedUrgentWorkIsLimited() {
            begin();
            fixture.configure(new OrganisationLimits(32, 0, Resources.of(0, 0, CAP)));
            fixture.submit(1, 0, tasks(20, 1));
            assertEquals(CAP, fixture.startAll().size());
        }

        @Test
        void aGangWithinTheOverageStartsOnlyWhileNothingElseRuns() {
            begin();
            fixture.capAccelerators(10).submit(1, 1, tasks(1, 1));
            Order.Start first = fixture.startAll().get(0);
            fixture.submit(2, 1, tasks(11, 1).gang());
            assertEquals(List.of(), fixture.startAll());
            fixture.reportEnd(first, RunEnd.DONE);
            assertEquals(11, fixture.startAll().size());
        }

        /** Guards against a job that blocks its organisation after its cap was lowered. */
        @Test
        void workThatCanNeverStartDoesNotHoldBackOtherWork() {
            begin();
            fixture.submit(1, 1, tasks(9, 1).gang()).submit(2, 1, tasks(3, 1));
            assertEquals(3, fixture.startAll().size());
        }

        /** Guards against narrow work that uses each part of the cap as soon as it is free. */
        @Test
        void narrowWorkBehindAWideGangDoesNotKeepItWaiting() {
            begin();
            fixture.submit(1, 1, tasks(6, 1));
            List<Order.Start> first = fixture.startAll();
            fixture.submit(2, 1, tasks(8, 1).gang()).advanceClock(1);
            fixture.submit(3, 2, tasks(20, 1));
            assertEquals(List.of(), fixture.startAll());
            first.forEach(start -> fixture.reportEnd(start, RunEnd.DONE));
            assertEquals(8, fixture.startAll().size());
        }

        @Test
        void runsThatAreBeingStoppedCount() {
            begin();
            fixture.submit(1, 1, tasks(8, 1).gang());
            fixture.startAll();
            fixture.state.cancel(job(1));
            fixture.submit(2, 1, tasks(1, 1));
            assertEquals(List.of(), fixture.decideStarts());
            assertEquals(List.of(), fixture.decideStarts());
            assertWaitsForCap(2);
        }

        /** Guards against a start that a restarted worker carries out seconds after it was sent. */
        @Test
        void aStartWithoutAnswerCountsForAsLongAsItMayBeCarriedOut() {
            begin();
            fixture.submit(1, 1, tasks(1, 8));
            Order.Start lost = fixture.decideStarts().get(0);
            fixture.state.handleFailedStart(lost, true, fixture.now());
            fixture.state.handleStartOutcome(lost, StartOutcome.UNKNOWN, fixture.now());
            Order.Stop stop = fixture.decideStops().get(0);
            fixture.state.confirmStopOrder(stop, fixture.now());
            fixture.report(lost.worker().value());
            assertEquals(List.of(), fixture.decideStarts());
            fixture.advanceClock(LeaseClock.MAX_CALL_DELAY_MILLIS);
            assertEquals(1, fixture.decideStarts().size());
        }

        @Test
        void runsOfAnUnresponsiveWorkerCountUntilTheyAreLost() {
            begin();
            fixture.submit(1, 1, tasks(1, 8));
            Order.Start start = fixture.startAll().get(0);
            fixture.submit(2, 1, tasks(1, 1));
            fixture.state.setUnresponsive(start.worker(), true);
            assertEquals(List.of(), fixture.decideStarts());
            fixture.state.markWorkerLost(start.worker(), Long.MAX_VALUE);
            assertEquals(1, fixture.decideStarts().size());
        }

        @Test
        void runsThatAWorkerHadListedBeforeItWasRebornNoLongerCount() {
            begin();
            fixture.submit(1, 1, tasks(1, 8));
            Order.Start start = fixture.startAll().get(0);
            fixture.report(start.worker().value(), running(start.task(), start.run()));
            fixture.submit(2, 1, tasks(1, 1));
            assertEquals(List.of(), fixture.decideStarts());
            fixture.state.cancel(job(1));
            fixture.restartWorker(start.worker().value());
            assertEquals(1, fixture.decideStarts().size());
        }

        @Test
        void aStartThatMayBeOnTheRebornWorkerCounts() {
            begin();
            fixture.submit(1, 1, tasks(1, 8));
            Order.Start start = fixture.decideStarts().get(0);
            fixture.state.handleFailedStart(start, true, fixture.now());
            fixture.restartWorker(start.worker().value()).submit(2, 1, tasks(1, 1));
            assertEquals(List.of(), fixture.decideStarts());
            assertWaitsForCap(2);
        }

        @Test
        void aLowerCapLimitsOnlyNewStarts() {
            begin();
            fixture.submit(1, 1, tasks(6, 1));
            List<Order.Start> first = fixture.startAll();
            fixture.capAccelerators(2).submit(2, 1, tasks(6, 1));
            first.subList(0, 4).forEach(start -> fixture.reportEnd(start, RunEnd.DONE));
            assertEquals(List.of(), fixture.decide());
            fixture.capAccelerators(3);
            assertEquals(1, fixture.startAll().size());
        }
    }

    @Nested
    class WorkThatWaitsForTheCap {

        private void beginWithAUsedCap() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");
            fixture.capAccelerators(CAP).submit(1, 1, tasks(1, 8));
            fixture.startAll();
        }

        @Test
        void stopsNoRunsOfOthers() {
            beginWithAUsedCap();
            fixture.submitForOther(2, 2, tasks(1, 8));
            fixture.startAll();
            fixture.submit(3, 0, tasks(1, 8).gang());
            assertEquals(List.of(), fixture.decide());
            assertWaitsForCap(3);
        }

        @Test
        void reservesNoCapacity() {
            beginWithAUsedCap();
            fixture.submitForOther(2, 1, tasks(1, 4));
            fixture.startAll();
            fixture.submit(3, 1, tasks(1, 8).gang());
            fixture.decide();
            assertEquals(0, fixture.state.load(fixture.now()).held());
            fixture.submitForOther(4, 2, tasks(1, 4).estimateMillis(100_000));
            assertEquals(1, fixture.startAll().size());
        }

        @Test
        void isNotWaitingBesideIdleCapacity() {
            beginWithAUsedCap();
            fixture.submit(2, 2, tasks(4, 1));
            fixture.decide();
            assertEquals(0, fixture.state.load(fixture.now()).waiting().getOrDefault(2, 0));
            assertEquals(1, fixture.state.load(fixture.now()).groupsOverCap());
        }
    }

    /** After a change of scheduler, all that may be running counts. */
    @Nested
    class WithANewScheduler {

        private void takeOverWithASilentWorker(int accelerators, JobProgress progress) {
            fixture.state.addJob(inherited(1, tasks(1, accelerators)), Optional.of(progress));
            for (String name : List.of("w1", "w2", "w3")) {
                fixture.registerWorker(name, "r1-1");
            }
            fixture.capAccelerators(CAP);
            fixture.state.endInheritance();
            fixture.report("w1").report("w2");
        }

        private int startsOfAnotherJob() {
            fixture.submit(2, 1, tasks(20, 1));
            return fixture.startAll().size();
        }

        @Test
        void recordedTasksOnUnreportedWorkersCount() {
            takeOverWithASilentWorker(
                    5,
                    new JobProgress(
                            JobState.RUNNING, List.of(), RunHosts.of(List.of(worker("w3")))));
            assertEquals(3, startsOfAnotherJob());
            fixture.report("w3");
            assertEquals(5, fixture.startAll().size());
        }

        @Test
        void adoptedRunsCount() {
            takeOverWithASilentWorker(5, SchedulerFixture.QUEUED_ANYWHERE);
            fixture.report("w3", running(task(1, 0), 77));
            assertEquals(3, startsOfAnotherJob());
        }

        @Test
        void recordedTasksCountUntilTheLeasesOfTheirWorkerHaveLapsed() {
            takeOverWithASilentWorker(8, SchedulerFixture.QUEUED_ANYWHERE);
            assertEquals(0, startsOfAnotherJob());
            fixture.state.cancel(job(1));
            assertEquals(0, fixture.startAll().size());
            fixture.state.markWorkerLost(worker("w3"), Long.MAX_VALUE);
            assertEquals(CAP, fixture.startAll().size());
        }

        /** Guards against the runs of a job that was being stopped when its scheduler died. */
        @Test
        void runsOfACancelledJobCount() {
            takeOverWithASilentWorker(
                    5, new JobProgress(JobState.CANCELLED, List.of(), RunHosts.ANYWHERE));
            assertEquals(3, startsOfAnotherJob());
            fixture.report("w3", running(task(1, 0), 77));
            assertEquals(List.of(), fixture.startAll());
            fixture.report("w3");
            assertEquals(5, fixture.startAll().size());
        }

        /**
         * Guards against blocking an organisation by tasks that were recorded but never started.
         */
        @Test
        void noMoreIsCountedThanUnreportedWorkersCanHave() {
            fixture.state.addJob(
                    inherited(1, tasks(40, 1)), Optional.of(SchedulerFixture.QUEUED_ANYWHERE));
            takeOverWithASilentWorker(8, SchedulerFixture.QUEUED_ANYWHERE);
            fixture.capAccelerators(12);
            assertEquals(4, startsOfAnotherJob());
        }

        @Test
        void theRecordOfACancelledJobHasItsRuns() {
            fixture.state.endInheritance();
            addWorkers();
            fixture.submit(1, 1, tasks(2, 1));
            fixture.startAll();
            fixture.state.takeChangedProgress();
            fixture.state.cancel(job(1));
            JobProgress stored = fixture.state.takeChangedProgress().get(job(1));
            assertEquals(2, stored.tasks().steps().get(0).tasks().cardinality());
        }
    }
}
