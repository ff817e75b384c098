package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.running;
import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static io.cardamomshelf.core.schedule.SchedulerFixture.task;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.schedule.Order.StopReason;
import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.RunEnd;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** What the board promises of runs, whatever workers and callers do. */
class SchedulerStateTest {

    private final SchedulerFixture scene = new SchedulerFixture();

    private JobState stored(int job) {
        Map<?, JobProgress> changed = scene.board.takeChangedProgress();
        JobProgress progress = changed.get(SchedulerFixture.job(job));
        return progress == null ? null : progress.state();
    }

    @Nested
    class Room {

        @Test
        void countsARunUntilItsEndIsListed() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").submit(1, 1, step(1, 52_000, 270_000, 8));
            Order.Start first = scene.startAll().get(0);
            scene.submit(2, 1, step(1, 52_000, 270_000, 8));
            assertEquals(List.of(), scene.decide());
            scene.board.cancel(SchedulerFixture.job(1));
            assertEquals(1, scene.stops().size());
            assertEquals(List.of(), scene.decide());
            scene.end(first, RunEnd.STOPPED);
            assertEquals(1, scene.starts().size());
        }

        @Test
        void isNotGivenAwayWhileAWorkerRunsWhatNoJobWants() {
            scene.listWorker("w1", "r1-1");
            scene.board.endInheritance();
            scene.report("w1", running(task(9, 0), 5));
            scene.submit(1, 1, step(1, 52_000, 270_000, 8));
            List<Order> orders = scene.decide();
            assertEquals(List.of(), SchedulerFixture.of(Order.Start.class, orders));
            assertEquals(
                    StopReason.UNWANTED,
                    SchedulerFixture.of(Order.Stop.class, orders).get(0).reason());
            scene.report("w1");
            assertEquals(1, scene.starts().size());
        }

        @Test
        void anUnwantedRunIsNotStoppedAgainAtEveryList() {
            scene.listWorker("w1", "r1-1");
            scene.board.endInheritance();
            scene.report("w1", running(task(9, 0), 5));
            assertEquals(1, scene.stops().size());
            scene.report("w1", running(task(9, 0), 5));
            assertEquals(0, scene.stops().size());
            scene.pass(2_000).report("w1", running(task(9, 0), 5));
            assertEquals(1, scene.stops().size());
        }

        @Test
        void ofAnUnansweredStartStaysTakenUntilAListAskedForAfterTheStopLacksIt() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").submit(1, 1, step(1, 52_000, 270_000, 8));
            Order.Start start = scene.starts().get(0);
            scene.board.handleStartOutcome(start, SchedulerState.StartOutcome.UNKNOWN, scene.now());
            scene.report("w1");
            Order.Stop stop = scene.stops().get(0);
            scene.report("w1");
            assertEquals(List.of(), scene.decide());
            scene.board.confirmStopOrder(stop, scene.now());
            assertEquals(List.of(), scene.decide());
            scene.report("w1");
            Order.Start again = scene.starts().get(0);
            assertTrue(again.run() > start.run());
        }

        @Test
        void isFreeAtOnceWhenAWorkerIsBornAgain() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").submit(1, 1, step(1, 52_000, 270_000, 8));
            scene.startAll();
            scene.restartWorker("w1");
            assertEquals(1, scene.starts().size());
        }
    }

    @Nested
    class Gangs {

        @Test
        void startWholeOrNotAtAll() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").submit(1, 1, step(2, 52_000, 270_000, 8).gang());
            assertEquals(List.of(), scene.decide());
            scene.openWorker("w2", "r1-1");
            List<Order.Start> starts = scene.starts();
            assertEquals(2, starts.size());
            assertEquals(starts.get(0).run(), starts.get(1).run());
        }

        @Test
        void areStoppedWholeWhenAMemberIsRefusedAndGoOnWithAHigherRun() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").openWorker("w2", "r1-1");
            scene.submit(1, 1, step(2, 52_000, 270_000, 8).gang());
            List<Order.Start> starts = scene.starts();
            scene.answerStarted(starts.get(0));
            scene.board.handleStartOutcome(
                    starts.get(1), SchedulerState.StartOutcome.REFUSED, scene.now());
            Order.Stop stop = scene.stops().get(0);
            assertEquals(starts.get(0).task(), stop.task());
            scene.pass(1_000).end(starts.get(0), RunEnd.STOPPED);
            List<Order.Start> again = scene.starts();
            assertEquals(2, again.size());
            assertTrue(again.get(0).run() > starts.get(0).run());
        }

        @Test
        void countOneEndForAll() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").openWorker("w2", "r1-1");
            scene.submit(1, 1, step(2, 52_000, 270_000, 8).gang());
            List<Order.Start> starts = scene.startAll();
            scene.end(starts.get(0), RunEnd.DONE);
            scene.decide();
            assertEquals(JobState.COMPLETED, stored(1));
        }

        @Test
        void leaveTheOtherMembersOfAFinishedOneAlone() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").openWorker("w2", "r1-1");
            scene.submit(1, 1, step(2, 52_000, 270_000, 8).gang());
            scene.end(scene.startAll().get(0), RunEnd.DONE);
            assertEquals(List.of(), scene.decide());
        }

        @Test
        void countOneFailureForAllMembers() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").openWorker("w2", "r1-1");
            scene.submit(1, 1, step(2, 52_000, 270_000, 8).gang());
            for (int attempt = 1; attempt <= 3; attempt++) {
                List<Order.Start> starts = scene.startAll();
                assertEquals(2, starts.size(), "attempt " + attempt);
                scene.end(starts.get(0), RunEnd.FAILED).end(starts.get(1), RunEnd.FAILED);
                scene.pass(1_000);
            }
            scene.decide();
            assertEquals(JobState.FAILED, stored(1));
        }

        @Test
        void goOnFromTheSavedProgressOfAnyMember() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").openWorker("w2", "r1-1");
            scene.submit(1, 1, step(2, 52_000, 270_000, 8).gang().checkpointing());
            List<Order.Start> starts = scene.startAll();
            Order.Start one = starts.get(0);
            scene.end(one.worker().value(), one.task(), one.run(), RunEnd.FAILED, "saved");
            scene.end(starts.get(1), RunEnd.BROKEN);
            for (Order.Start again : scene.starts()) {
                assertEquals("saved", again.checkpoint());
            }
        }
    }

    @Nested
    class Jobs {

        @Test
        void waitForTheStepsBefore() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1");
            scene.submit(1, 1, step(1, 1_000, 1_000, 1), step(1, 1_000, 1_000, 1).after(0));
            List<Order.Start> starts = scene.startAll();
            assertEquals(1, starts.size());
            scene.end(starts.get(0), RunEnd.DONE);
            assertEquals(1, scene.starts().get(0).task().step());
        }

        @Test
        void waitForTheirTime() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1");
            long due = scene.now().wallMillis() + 5_000;
            scene.submit(
                    1,
                    1,
                    new JobRequest("x", List.of(step(1, 1_000, 1_000, 1).build()), 2, due, 3_000));
            scene.pass(4_999);
            assertEquals(List.of(), scene.decide());
            scene.pass(1);
            assertEquals(0, scene.startAll().get(0).task().occurrence());
            scene.pass(3_000);
            assertEquals(1, scene.startAll().get(0).task().occurrence());
        }

        @Test
        void thatLastAreStartedAgainHoweverTheyEnd() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1");
            scene.submit(1, 1, step(1, 1_000, 1_000, 1).longRunning());
            for (int i = 0; i < 6; i++) {
                List<Order.Start> starts = scene.startAll();
                assertEquals(1, starts.size());
                scene.end(starts.get(0), i % 2 == 0 ? RunEnd.FAILED : RunEnd.DONE);
            }
            scene.decide();
            assertEquals(JobState.RUNNING, stored(1));
        }

        @Test
        void thatAreCancelledStopAndNeverStartAgain() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").submit(1, 1, step(2, 1_000, 1_000, 1));
            scene.startAll();
            assertTrue(scene.board.cancel(SchedulerFixture.job(1)));
            assertFalse(scene.board.cancel(SchedulerFixture.job(1)));
            assertEquals(2, scene.stops().size());
            assertEquals(JobState.CANCELLED, stored(1));
            assertEquals(List.of(), scene.decide());
        }
    }

    @Nested
    class Places {

        @Test
        void areNotInADataCentreThatIsTakenOut() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").submit(1, 1, step(1, 1_000, 1_000, 1));
            scene.board.setClosedDataCentres(Set.of(DataCentreId.of("jhb-a")));
            assertEquals(List.of(), scene.decide());
            scene.board.setClosedDataCentres(Set.of());
            assertEquals(1, scene.starts().size());
        }

        @Test
        void haveTheLabel() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").submit(1, 1, step(1, 1_000, 1_000, 1).label("b"));
            assertEquals(List.of(), scene.decide());
            scene.submit(2, 1, step(1, 1_000, 1_000, 1).label("a"));
            assertEquals(SchedulerFixture.job(2), scene.starts().get(0).task().job());
        }

        @Test
        void areElsewhereAfterAFailureWhileAnotherWorkerHasRoom() {
            scene.openWorker("w1", "r1-1").openWorker("w2", "r1-1");
            scene.submit(1, 1, step(1, 1_000, 1_000, 1));
            Order.Start first = scene.startAll().get(0);
            scene.end(first, RunEnd.FAILED);
            Order.Start second = scene.startAll().get(0);
            assertNotEquals(first.worker(), second.worker());
        }

        @Test
        void areOnTheWorkerThatFailedThemIfThereIsNoOther() {
            scene.openWorker("w1", "r1-1");
            scene.submit(1, 1, step(1, 1_000, 1_000, 1));
            scene.end(scene.startAll().get(0), RunEnd.FAILED);
            assertEquals(1, scene.startAll().size());
        }

        @Test
        void areLeftInTimeByWhatWouldNotEndOnALeavingWorker() {
            scene.openWorker("w1", "r1-1").openWorker("w2", "r1-1");
            scene.submit(1, 1, step(2, 52_000, 270_000, 8).gang().checkpointing());
            List<Order.Start> starts = scene.startAll();
            scene.pass(2_000).drainWorker("w1", "r1-1", 3_000);
            List<Order.Stop> stops = scene.stops();
            assertEquals(2, stops.size());
            assertEquals(Order.StopReason.WORKER_LEAVES, stops.get(0).reason());
            starts.forEach(start -> scene.end(start, RunEnd.STOPPED));
            scene.openWorker("w3", "r1-1");
            assertEquals(2, scene.startAll().size());
        }

        @Test
        void areKeptOnALeavingWorkerByWhatEndsInTime() {
            scene.openWorker("w1", "r1-1");
            scene.submit(1, 1, step(1, 52_000, 270_000, 8).checkpointing());
            scene.startAll();
            scene.pass(4_000).drainWorker("w1", "r1-1", 3_000);
            assertEquals(List.of(), scene.decide());
        }

        @Test
        void areKeptOnALeavingWorkerByUnsavedWorkThatNearlyEndsInTime() {
            scene.openWorker("w1", "r1-1");
            scene.submit(1, 1, step(1, 52_000, 270_000, 8));
            scene.startAll();
            scene.pass(2_000).drainWorker("w1", "r1-1", 2_500);
            assertEquals(List.of(), scene.decide());
        }

        @Test
        void keepTasksApart() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").openWorker("w2", "r1-1");
            scene.submit(1, 1, step(4, 1_000, 1_000, 1).apart(1));
            List<Order.Start> starts = scene.startAll();
            assertEquals(2, starts.size());
            assertNotEquals(starts.get(0).worker(), starts.get(1).worker());
        }

        @Test
        void ofARackLocalGangAreOneRackWhileThatIsWorthWaitingFor() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").openWorker("w2", "r1-1").openWorker("w3", "r1-2");
            scene.submit(1, 1, step(1, 52_000, 270_000, 8).near("r1-1"));
            Order.Start near = scene.startAll().get(0);
            scene.submit(2, 1, step(2, 52_000, 270_000, 8).gang().rackLocal());
            assertEquals(List.of(), scene.decide());
            scene.end(near, RunEnd.DONE);
            Set<String> hosts =
                    scene.starts().stream()
                            .map(start -> start.worker().value())
                            .collect(Collectors.toCollection(HashSet::new));
            assertEquals(Set.of("w1", "w2"), hosts);
        }
    }

    @Nested
    class Reclaim {

        @Test
        void stopsTheLeastWorkAndHoldsTheRoomForTheUrgentJob() {
            scene.board.endInheritance();
            scene.openWorker("w1", "r1-1").openWorker("w2", "r1-1");
            scene.submit(1, 1, step(1, 52_000, 270_000, 8));
            Order.Start old = scene.startAll().get(0);
            scene.pass(3_000).submit(2, 1, step(1, 52_000, 270_000, 8));
            Order.Start young = scene.startAll().get(0);
            scene.submit(3, 0, step(1, 15_000, 79_000, 8).gang());
            scene.submit(4, 1, step(1, 52_000, 270_000, 8));
            List<Order> orders = scene.decide();
            assertEquals(List.of(), SchedulerFixture.of(Order.Start.class, orders));
            List<Order.Stop> stops = SchedulerFixture.of(Order.Stop.class, orders);
            assertEquals(1, stops.size());
            assertEquals(young.task(), stops.get(0).task());
            assertNotEquals(old.worker(), stops.get(0).worker());
            assertEquals(List.of(), scene.decide());
            scene.end(young, RunEnd.STOPPED);
            assertEquals(SchedulerFixture.job(3), scene.starts().get(0).task().job());
        }

        private void fillRack(String rack, int firstJob) {
            scene.openWorker(rack + "w1", rack).openWorker(rack + "w2", rack);
            scene.submit(firstJob, 1, step(1, 52_000, 270_000, 8).near(rack));
            scene.submit(firstJob + 1, 1, step(1, 52_000, 270_000, 8).near(rack));
            assertEquals(2, scene.startAll().size());
        }

        @Test
        void makesRoomInOneRackRatherThanRunSlowlyInTwo() {
            scene.board.endInheritance();
            fillRack("r1-1", 1);
            scene.openWorker("x", "r1-2").openWorker("y", "r1-3");
            scene.pass(1_000).submit(9, 0, step(2, 15_000, 79_000, 8).gang().rackLocal());
            List<Order> orders = scene.decide();
            assertEquals(List.of(), SchedulerFixture.of(Order.Start.class, orders));
            assertEquals(2, SchedulerFixture.of(Order.Stop.class, orders).size());
        }

        @Test
        void stopsSingleTasksRatherThanAGangThoughBothAreSaved() {
            scene.board.endInheritance();
            for (String name : List.of("w1", "w2", "w3")) {
                scene.openWorker(name, "r1-1");
            }
            scene.submit(1, 1, step(3, 52_000, 270_000, 8).gang().checkpointing());
            assertEquals(3, scene.startAll().size());
            scene.openWorker("w4", "r1-1");
            scene.submit(2, 2, step(8, 1_000, 1_000, 1).checkpointing());
            assertEquals(8, scene.startAll().size());
            scene.pass(1_000).submit(9, 0, step(1, 15_000, 79_000, 8));
            List<Order.Stop> stops = scene.stops();
            assertEquals(8, stops.size());
            assertTrue(
                    stops.stream().allMatch(s -> s.task().job().equals(SchedulerFixture.job(2))));
        }

        @Test
        void runsInTwoRacksWhereMakingRoomWouldLoseMoreWork() {
            scene.board.endInheritance();
            fillRack("r1-1", 1);
            scene.openWorker("x", "r1-2").openWorker("y", "r1-3");
            scene.pass(60_000).submit(9, 0, step(2, 15_000, 79_000, 8).gang().rackLocal());
            assertEquals(List.of(), scene.decide());
            scene.pass(1_200);
            List<Order> orders = scene.decide();
            assertEquals(List.of(), SchedulerFixture.of(Order.Stop.class, orders));
            assertEquals(2, SchedulerFixture.of(Order.Start.class, orders).size());
        }
    }
}
