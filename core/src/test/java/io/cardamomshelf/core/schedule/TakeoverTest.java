package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.running;
import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static io.cardamomshelf.core.schedule.SchedulerFixture.task;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

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

/** What a scheduler does with what an earlier one left. */
class TakeoverTest {

    private final SchedulerFixture scene = new SchedulerFixture();

    private JobState stored(int job) {
        Map<?, JobProgress> changed = scene.board.takeChangedProgress();
        JobProgress progress = changed.get(SchedulerFixture.job(job));
        return progress == null ? null : progress.state();
    }

    @Nested
    class Runs {

        private void inherit(SchedulerFixture.StepBuilder step) {
            JobRequest request = new JobRequest("x", List.of(step.build()), 0, 0, 0);
            scene.board.addJob(
                    new TaskJob(
                            SchedulerFixture.job(1),
                            SchedulerFixture.ORGANISATION,
                            SchedulerFixture.queue(1),
                            1,
                            request),
                    Optional.of(new JobProgress(JobState.RUNNING, List.of(), RunHosts.ANYWHERE)));
        }

        @Test
        void startsNothingInheritedUntilEveryWorkerHasTold() {
            inherit(step(1, 52_000, 270_000, 8));
            scene.listWorker("w1", "r1-1").listWorker("w2", "r1-1");
            scene.board.endInheritance();
            scene.report("w1");
            assertEquals(List.of(), scene.decide());
            scene.report("w2");
            assertEquals(1, scene.starts().size());
        }

        private void inheritFromThreeOfWhichTwoHaveTold(RunHosts hosts) {
            JobRequest request =
                    new JobRequest("x", List.of(step(1, 52_000, 270_000, 8).build()), 0, 0, 0);
            scene.board.addJob(
                    new TaskJob(
                            SchedulerFixture.job(1),
                            SchedulerFixture.ORGANISATION,
                            SchedulerFixture.queue(1),
                            1,
                            request),
                    Optional.of(new JobProgress(JobState.RUNNING, List.of(), hosts)));
            scene.listWorker("w1", "r1-1").listWorker("w2", "r1-1").listWorker("w3", "r1-1");
            scene.board.endInheritance();
            scene.report("w1").report("w2");
        }

        @Test
        void startsWhereItIsNamedThoughAnotherWorkerIsSilent() {
            inheritFromThreeOfWhichTwoHaveTold(RunHosts.of(List.of(SchedulerFixture.worker("w1"))));
            assertEquals("w1", scene.starts().get(0).worker().value());
        }

        @Test
        void startsNothingThatASilentWorkerMayHave() {
            inheritFromThreeOfWhichTwoHaveTold(
                    RunHosts.of(
                            List.of(SchedulerFixture.worker("w1"), SchedulerFixture.worker("w3"))));
            assertEquals(List.of(), scene.decide());
            scene.report("w3");
            assertEquals(1, scene.starts().size());
        }

        @Test
        void startsNothingWhoseStrayRunIsStillBeingStopped() {
            inheritFromThreeOfWhichTwoHaveTold(
                    RunHosts.of(
                            List.of(SchedulerFixture.worker("w1"), SchedulerFixture.worker("w3"))));
            scene.report("w3", running(task(1, 0), 76), running(task(1, 0), 77));
            scene.end("w3", task(1, 0), 76, RunEnd.STOPPED, "", running(task(1, 0), 77));
            assertEquals(List.of(), scene.starts());
            scene.report("w3");
            assertEquals(1, scene.starts().size());
        }

        @Test
        void startsNewJobsAtOnce() {
            scene.listWorker("w1", "r1-1").listWorker("w2", "r1-1");
            scene.board.endInheritance();
            scene.report("w1").submit(2, 1, step(1, 52_000, 270_000, 8));
            assertEquals(1, scene.starts().size());
        }

        @Test
        void startsOnceItIsStoredWhatNoSchedulerHasSeenThoughAWorkerIsSilent() {
            JobRequest request =
                    new JobRequest("x", List.of(step(1, 52_000, 270_000, 8).build()), 0, 0, 0);
            scene.board.addJob(
                    new TaskJob(
                            SchedulerFixture.job(1),
                            SchedulerFixture.ORGANISATION,
                            SchedulerFixture.queue(1),
                            1,
                            request),
                    Optional.empty());
            scene.listWorker("w1", "r1-1").listWorker("w2", "r1-1");
            scene.board.endInheritance();
            scene.report("w1");
            assertEquals(List.of(), scene.decide());
            assertEquals(JobState.RUNNING, stored(1));
            assertEquals(List.of(), scene.decide());
            scene.board.confirmProgressStored(SchedulerFixture.job(1));
            assertEquals(1, scene.starts().size());
        }

        private Order.Start startsOnceNamed() {
            assertEquals(List.of(), scene.starts());
            scene.board.takeChangedProgress();
            scene.board.confirmProgressStored(SchedulerFixture.job(1));
            return scene.startAll().get(0);
        }

        @Test
        void namesAnotherWorkerBeforeItStartsThere() {
            JobRequest request =
                    new JobRequest("x", List.of(step(1, 52_000, 270_000, 8).build()), 0, 0, 0);
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").openWorker("w2", "r1-1");
            scene.board.addJob(
                    new TaskJob(
                            SchedulerFixture.job(1),
                            SchedulerFixture.ORGANISATION,
                            SchedulerFixture.queue(1),
                            1,
                            request),
                    Optional.empty());
            Order.Start first = startsOnceNamed();
            scene.end(first, RunEnd.FAILED);
            assertNotEquals(first.worker(), startsOnceNamed().worker());
        }

        @Test
        void startsAgainWhereItIsNamedWhileTheStoreIsAway() {
            inheritFromThreeOfWhichTwoHaveTold(RunHosts.of(List.of(SchedulerFixture.worker("w2"))));
            assertEquals(List.of(), scene.starts());
            scene.board.takeChangedProgress();
            assertEquals(List.of(), scene.starts());
            scene.pass(600);
            assertEquals("w2", scene.starts().get(0).worker().value());
        }

        private void askForRoomWhileOneOfTwoHasTold() {
            inherit(step(1, 52_000, 270_000, 8));
            scene.listWorker("w1", "r1-1").listWorker("w2", "r1-1");
            scene.board.endInheritance();
            scene.report("w1", running(task(1, 0), 77));
            scene.submit(2, 0, step(1, 1_000, 1_000, 8));
            assertEquals(List.of(), scene.decide());
        }

        @Test
        void stopsNothingForUrgentWorkBeforeWorkersHadTimeToTell() {
            askForRoomWhileOneOfTwoHasTold();
            scene.report("w1", running(task(1, 0), 77)).report("w2");
            assertEquals("w2", scene.starts().get(0).worker().value());
        }

        @Test
        void stopsWorkForUrgentWorkThoughAWorkerStaysSilent() {
            askForRoomWhileOneOfTwoHasTold();
            scene.pass(600);
            assertEquals(1, scene.stops().size());
        }

        @Test
        void adoptsWhatRuns() {
            inherit(step(1, 52_000, 270_000, 8));
            scene.listWorker("w1", "r1-1").listWorker("w2", "r1-1");
            scene.board.endInheritance();
            scene.report("w1", running(task(1, 0), 77)).report("w2");
            assertEquals(List.of(), scene.decide());
            scene.end("w1", task(1, 0), 77, RunEnd.DONE, "");
            scene.decide();
            assertEquals(JobState.COMPLETED, stored(1));
        }

        @Test
        void letsAGangRunWhoseOtherMembersAreNotTold() {
            inherit(step(2, 52_000, 270_000, 8).gang());
            scene.listWorker("w1", "r1-1").listWorker("w2", "r1-1").listWorker("w3", "r1-1");
            scene.board.endInheritance();
            scene.report("w1", running(task(1, 0), 77));
            assertEquals(List.of(), scene.decide());
            scene.report("w2", running(task(1, 1), 77));
            assertEquals(List.of(), scene.decide());
            scene.report("w3");
            assertEquals(List.of(), scene.decide());
        }

        @Test
        void stopsAGangOfWhichAMemberIsMissing() {
            inherit(step(2, 52_000, 270_000, 8).gang());
            scene.listWorker("w1", "r1-1").listWorker("w2", "r1-1");
            scene.board.endInheritance();
            scene.report("w1", running(task(1, 0), 77)).report("w2");
            assertEquals(1, scene.stops().size());
        }

        @Test
        void takesAWorkerThatIsLostForEmpty() {
            inherit(step(1, 52_000, 270_000, 8));
            scene.listWorker("w1", "r1-1").listWorker("w2", "r1-1");
            scene.board.endInheritance();
            scene.report("w1");
            scene.board.markWorkerLost(SchedulerFixture.worker("w2"));
            assertEquals(1, scene.starts().size());
        }

        @Test
        void goesOnFromWhatAStopSaved() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1");
            scene.submit(1, 1, step(1, 52_000, 270_000, 8).checkpointing());
            Order.Start start = scene.startAll().get(0);
            scene.board.takeChangedProgress();
            scene.end("w1", start.task(), start.run(), RunEnd.STOPPED, "saved");
            JobProgress stored = scene.board.takeChangedProgress().get(SchedulerFixture.job(1));
            assertEquals("saved", stored.steps().get(0).checkpoints().get(0));
        }

        @Test
        void countsFailuresInWhateverOrderWorkersListThem() {
            inherit(step(1, 52_000, 270_000, 8));
            scene.listWorker("w1", "r1-1").listWorker("w2", "r1-1").listWorker("w3", "r1-1");
            scene.board.endInheritance();
            scene.end("w2", task(1, 0), 79, RunEnd.FAILED, "");
            scene.end("w3", task(1, 0), 78, RunEnd.FAILED, "");
            scene.end("w1", task(1, 0), 77, RunEnd.FAILED, "");
            assertEquals(List.of(), scene.decide());
            assertEquals(JobState.FAILED, stored(1));
        }

        @Test
        void countsAnEndThatIsListedTwiceOnce() {
            inherit(step(1, 52_000, 270_000, 8));
            scene.listWorker("w1", "r1-1");
            scene.board.endInheritance();
            scene.end("w1", task(1, 0), 77, RunEnd.FAILED, "");
            scene.end("w1", task(1, 0), 77, RunEnd.FAILED, "");
            scene.end("w1", task(1, 0), 77, RunEnd.FAILED, "");
            assertEquals(1, scene.starts().size());
            assertNotEquals(JobState.FAILED, stored(1));
        }
    }
}
