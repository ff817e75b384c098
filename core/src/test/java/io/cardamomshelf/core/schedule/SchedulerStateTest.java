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

/**
 * Tests the rules that the scheduler keeps for runs, whatever workers report or callers request.
 */
class SchedulerStateTest {

    private final SchedulerFixture fixture = new SchedulerFixture();

    private JobState changedState(int job) {
        Map<?, JobProgress> changed = fixture.state.takeChangedProgress();
        JobProgress progress = changed.get(SchedulerFixture.job(job));
        return progress == null ? null : progress.state();
    }

    @Nested
    class Capacity {

        @Test
        void isHeldByARunUntilItsEndIsReported() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").submit(1, 1, step(1, 52_000, 270_000, 8));
            Order.Start first = fixture.startAll().get(0);
            fixture.submit(2, 1, step(1, 52_000, 270_000, 8));
            assertEquals(List.of(), fixture.decide());
            fixture.state.cancel(SchedulerFixture.job(1));
            assertEquals(1, fixture.decideStops().size());
            assertEquals(List.of(), fixture.decide());
            fixture.reportEnd(first, RunEnd.STOPPED);
            assertEquals(1, fixture.decideStarts().size());
        }

        @Test
        void isNotReassignedWhileAnOrphanedRunIsReported() {
            fixture.registerWorker("w1", "r1-1");
            fixture.state.endInheritance();
            fixture.report("w1", running(task(9, 0), 5));
            fixture.submit(1, 1, step(1, 52_000, 270_000, 8));
            List<Order> orders = fixture.decide();
            assertEquals(List.of(), SchedulerFixture.ordersOfType(Order.Start.class, orders));
            assertEquals(
                    StopReason.UNWANTED,
                    SchedulerFixture.ordersOfType(Order.Stop.class, orders).get(0).reason());
            fixture.report("w1");
            assertEquals(1, fixture.decideStarts().size());
        }

        @Test
        void ofAnOrphanedRunCausesNoSecondStopBeforeTheRetryInterval() {
            fixture.registerWorker("w1", "r1-1");
            fixture.state.endInheritance();
            fixture.report("w1", running(task(9, 0), 5));
            assertEquals(1, fixture.decideStops().size());
            fixture.report("w1", running(task(9, 0), 5));
            assertEquals(0, fixture.decideStops().size());
            fixture.advanceClock(2_000).report("w1", running(task(9, 0), 5));
            assertEquals(1, fixture.decideStops().size());
        }

        @Test
        void ofAnUnansweredStartIsHeldUntilAReportRequestedAfterTheStopOmitsIt() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").submit(1, 1, step(1, 52_000, 270_000, 8));
            Order.Start start = fixture.decideStarts().get(0);
            fixture.state.handleStartOutcome(start, StartOutcome.UNKNOWN, fixture.now());
            fixture.report("w1");
            Order.Stop stop = fixture.decideStops().get(0);
            fixture.report("w1");
            assertEquals(List.of(), fixture.decide());
            fixture.state.confirmStopOrder(stop, fixture.now());
            assertEquals(List.of(), fixture.decide());
            fixture.report("w1");
            Order.Start again = fixture.decideStarts().get(0);
            assertTrue(again.run() > start.run());
        }

        @Test
        void isFreeAtOnceWhenAWorkerRestarts() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").submit(1, 1, step(1, 52_000, 270_000, 8));
            fixture.startAll();
            fixture.restartWorker("w1");
            assertEquals(1, fixture.decideStarts().size());
        }
    }

    @Nested
    class Gangs {

        @Test
        void startWithAllMembersOrNotAtAll() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").submit(1, 1, step(2, 52_000, 270_000, 8).gang());
            assertEquals(List.of(), fixture.decide());
            fixture.addIdleWorker("w2", "r1-1");
            List<Order.Start> starts = fixture.decideStarts();
            assertEquals(2, starts.size());
            assertEquals(starts.get(0).run(), starts.get(1).run());
        }

        @Test
        void areStoppedWhenAMemberIsRefusedAndRestartedWithAHigherRunNumber() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");
            fixture.submit(1, 1, step(2, 52_000, 270_000, 8).gang());
            List<Order.Start> starts = fixture.decideStarts();
            fixture.confirmStart(starts.get(0));
            fixture.state.handleStartOutcome(starts.get(1), StartOutcome.REFUSED, fixture.now());
            Order.Stop stop = fixture.decideStops().get(0);
            assertEquals(starts.get(0).task(), stop.task());
            fixture.advanceClock(1_000).reportEnd(starts.get(0), RunEnd.STOPPED);
            List<Order.Start> again = fixture.decideStarts();
            assertEquals(2, again.size());
            assertTrue(again.get(0).run() > starts.get(0).run());
        }

        @Test
        void completeWhenOneMemberIsDone() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");
            fixture.submit(1, 1, step(2, 52_000, 270_000, 8).gang());
            List<Order.Start> starts = fixture.startAll();
            fixture.reportEnd(starts.get(0), RunEnd.DONE);
            fixture.decide();
            assertEquals(JobState.COMPLETED, changedState(1));
        }

        @Test
        void doNotStopTheOtherMembersWhenOneIsDone() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");
            fixture.submit(1, 1, step(2, 52_000, 270_000, 8).gang());
            fixture.reportEnd(fixture.startAll().get(0), RunEnd.DONE);
            assertEquals(List.of(), fixture.decide());
        }

        @Test
        void countTheFailuresOfAllMembersAsOne() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");
            fixture.submit(1, 1, step(2, 52_000, 270_000, 8).gang());
            for (int attempt = 1; attempt <= 3; attempt++) {
                List<Order.Start> starts = fixture.startAll();
                assertEquals(2, starts.size(), "attempt " + attempt);
                fixture.reportEnd(starts.get(0), RunEnd.FAILED)
                        .reportEnd(starts.get(1), RunEnd.FAILED);
                fixture.advanceClock(1_000);
            }
            fixture.decide();
            assertEquals(JobState.FAILED, changedState(1));
        }

        @Test
        void resumeFromTheCheckpointOfAnyMember() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");
            fixture.submit(1, 1, step(2, 52_000, 270_000, 8).gang().checkpointing());
            List<Order.Start> starts = fixture.startAll();
            Order.Start one = starts.get(0);
            fixture.reportEnd(one.worker().value(), one.task(), one.run(), RunEnd.FAILED, "saved");
            fixture.reportEnd(starts.get(1), RunEnd.BROKEN);
            for (Order.Start again : fixture.decideStarts()) {
                assertEquals("saved", again.checkpoint());
            }
        }
    }

    @Nested
    class Jobs {

        @Test
        void waitForEarlierSteps() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1");
            fixture.submit(1, 1, step(1, 1_000, 1_000, 1), step(1, 1_000, 1_000, 1).after(0));
            List<Order.Start> starts = fixture.startAll();
            assertEquals(1, starts.size());
            fixture.reportEnd(starts.get(0), RunEnd.DONE);
            assertEquals(1, fixture.decideStarts().get(0).task().step());
        }

        @Test
        void waitForTheirDueTime() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1");
            long due = fixture.now().wallMillis() + 5_000;
            fixture.submit(
                    1,
                    1,
                    new JobRequest("x", List.of(step(1, 1_000, 1_000, 1).build()), 2, due, 3_000));
            fixture.advanceClock(4_999);
            assertEquals(List.of(), fixture.decide());
            fixture.advanceClock(1);
            assertEquals(0, fixture.startAll().get(0).task().occurrence());
            fixture.advanceClock(3_000);
            assertEquals(1, fixture.startAll().get(0).task().occurrence());
        }

        @Test
        void thatAreLongRunningRestartAfterEveryEnd() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1");
            fixture.submit(1, 1, step(1, 1_000, 1_000, 1).longRunning());
            for (int i = 0; i < 6; i++) {
                List<Order.Start> starts = fixture.startAll();
                assertEquals(1, starts.size());
                fixture.reportEnd(starts.get(0), i % 2 == 0 ? RunEnd.FAILED : RunEnd.DONE);
            }
            fixture.decide();
            assertEquals(JobState.RUNNING, changedState(1));
        }

        @Test
        void thatAreCancelledStopAndDoNotRestart() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").submit(1, 1, step(2, 1_000, 1_000, 1));
            fixture.startAll();
            assertTrue(fixture.state.cancel(SchedulerFixture.job(1)));
            assertFalse(fixture.state.cancel(SchedulerFixture.job(1)));
            assertEquals(2, fixture.decideStops().size());
            assertEquals(JobState.CANCELLED, changedState(1));
            assertEquals(List.of(), fixture.decide());
        }
    }

    @Nested
    class WorkerChoice {

        @Test
        void skipsAWithdrawnDataCentre() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").submit(1, 1, step(1, 1_000, 1_000, 1));
            fixture.state.setClosedDataCentres(Set.of(DataCentreId.of("jhb-a")));
            assertEquals(List.of(), fixture.decide());
            fixture.state.setClosedDataCentres(Set.of());
            assertEquals(1, fixture.decideStarts().size());
        }

        @Test
        void requiresTheLabel() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").submit(1, 1, step(1, 1_000, 1_000, 1).label("b"));
            assertEquals(List.of(), fixture.decide());
            fixture.submit(2, 1, step(1, 1_000, 1_000, 1).label("a"));
            assertEquals(SchedulerFixture.job(2), fixture.decideStarts().get(0).task().job());
        }

        @Test
        void avoidsAWorkerThatFailedTheTaskWhileAnotherHasCapacity() {
            fixture.addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");
            fixture.submit(1, 1, step(1, 1_000, 1_000, 1));
            Order.Start first = fixture.startAll().get(0);
            fixture.reportEnd(first, RunEnd.FAILED);
            Order.Start second = fixture.startAll().get(0);
            assertNotEquals(first.worker(), second.worker());
        }

        @Test
        void allowsAWorkerThatFailedTheTaskIfThereIsNoOther() {
            fixture.addIdleWorker("w1", "r1-1");
            fixture.submit(1, 1, step(1, 1_000, 1_000, 1));
            fixture.reportEnd(fixture.startAll().get(0), RunEnd.FAILED);
            assertEquals(1, fixture.startAll().size());
        }

        @Test
        void stopsRunsThatWouldNotEndInTimeOnADrainingWorker() {
            fixture.addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");
            fixture.submit(1, 1, step(2, 52_000, 270_000, 8).gang().checkpointing());
            List<Order.Start> starts = fixture.startAll();
            fixture.advanceClock(2_000).drainWorker("w1", "r1-1", 3_000);
            List<Order.Stop> stops = fixture.decideStops();
            assertEquals(2, stops.size());
            assertEquals(Order.StopReason.WORKER_LEAVES, stops.get(0).reason());
            starts.forEach(start -> fixture.reportEnd(start, RunEnd.STOPPED));
            fixture.addIdleWorker("w3", "r1-1");
            assertEquals(2, fixture.startAll().size());
        }

        @Test
        void keepsRunsThatEndInTimeOnADrainingWorker() {
            fixture.addIdleWorker("w1", "r1-1");
            fixture.submit(1, 1, step(1, 52_000, 270_000, 8).checkpointing());
            fixture.startAll();
            fixture.advanceClock(4_000).drainWorker("w1", "r1-1", 3_000);
            assertEquals(List.of(), fixture.decide());
        }

        @Test
        void keepsUncheckpointedRunsThatNearlyEndInTimeOnADrainingWorker() {
            fixture.addIdleWorker("w1", "r1-1");
            fixture.submit(1, 1, step(1, 52_000, 270_000, 8));
            fixture.startAll();
            fixture.advanceClock(2_000).drainWorker("w1", "r1-1", 2_500);
            assertEquals(List.of(), fixture.decide());
        }

        @Test
        void limitsTheTasksPerWorker() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");
            fixture.submit(1, 1, step(4, 1_000, 1_000, 1).maxPerWorker(1));
            List<Order.Start> starts = fixture.startAll();
            assertEquals(2, starts.size());
            assertNotEquals(starts.get(0).worker(), starts.get(1).worker());
        }

        @Test
        void keepsARackLocalGangInOneRackWhileThatIsWorthTheWait() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1")
                    .addIdleWorker("w2", "r1-1")
                    .addIdleWorker("w3", "r1-2");
            fixture.submit(1, 1, step(1, 52_000, 270_000, 8).dataRack("r1-1"));
            Order.Start near = fixture.startAll().get(0);
            fixture.submit(2, 1, step(2, 52_000, 270_000, 8).gang().rackLocal());
            assertEquals(List.of(), fixture.decide());
            fixture.reportEnd(near, RunEnd.DONE);
            Set<String> hosts =
                    fixture.decideStarts().stream()
                            .map(start -> start.worker().value())
                            .collect(Collectors.toCollection(HashSet::new));
            assertEquals(Set.of("w1", "w2"), hosts);
        }
    }

    @Nested
    class UrgentJob {

        @Test
        void stopsTheLeastWorkAndReservesItsCapacity() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");
            fixture.submit(1, 1, step(1, 52_000, 270_000, 8));
            Order.Start old = fixture.startAll().get(0);
            fixture.advanceClock(3_000).submit(2, 1, step(1, 52_000, 270_000, 8));
            Order.Start young = fixture.startAll().get(0);
            fixture.submit(3, 0, step(1, 15_000, 79_000, 8).gang());
            fixture.submit(4, 1, step(1, 52_000, 270_000, 8));
            List<Order> orders = fixture.decide();
            assertEquals(List.of(), SchedulerFixture.ordersOfType(Order.Start.class, orders));
            List<Order.Stop> stops = SchedulerFixture.ordersOfType(Order.Stop.class, orders);
            assertEquals(1, stops.size());
            assertEquals(young.task(), stops.get(0).task());
            assertNotEquals(old.worker(), stops.get(0).worker());
            assertEquals(List.of(), fixture.decide());
            fixture.reportEnd(young, RunEnd.STOPPED);
            assertEquals(SchedulerFixture.job(3), fixture.decideStarts().get(0).task().job());
        }

        private void fillRack(String rack, int firstJob) {
            fixture.addIdleWorker(rack + "w1", rack).addIdleWorker(rack + "w2", rack);
            fixture.submit(firstJob, 1, step(1, 52_000, 270_000, 8).dataRack(rack));
            fixture.submit(firstJob + 1, 1, step(1, 52_000, 270_000, 8).dataRack(rack));
            assertEquals(2, fixture.startAll().size());
        }

        @Test
        void stopsRunsInOneRackRatherThanRunSlowlyInTwo() {
            fixture.state.endInheritance();
            fillRack("r1-1", 1);
            fixture.addIdleWorker("x", "r1-2").addIdleWorker("y", "r1-3");
            fixture.advanceClock(1_000).submit(9, 0, step(2, 15_000, 79_000, 8).gang().rackLocal());
            List<Order> orders = fixture.decide();
            assertEquals(List.of(), SchedulerFixture.ordersOfType(Order.Start.class, orders));
            assertEquals(2, SchedulerFixture.ordersOfType(Order.Stop.class, orders).size());
        }

        @Test
        void stopsSingleTasksRatherThanAGangThoughBothAreCheckpointed() {
            fixture.state.endInheritance();
            for (String name : List.of("w1", "w2", "w3")) {
                fixture.addIdleWorker(name, "r1-1");
            }
            fixture.submit(1, 1, step(3, 52_000, 270_000, 8).gang().checkpointing());
            assertEquals(3, fixture.startAll().size());
            fixture.addIdleWorker("w4", "r1-1");
            fixture.submit(2, 2, step(8, 1_000, 1_000, 1).checkpointing());
            assertEquals(8, fixture.startAll().size());
            fixture.advanceClock(1_000).submit(9, 0, step(1, 15_000, 79_000, 8));
            List<Order.Stop> stops = fixture.decideStops();
            assertEquals(8, stops.size());
            assertTrue(
                    stops.stream().allMatch(s -> s.task().job().equals(SchedulerFixture.job(2))));
        }

        @Test
        void runsInTwoRacksIfStoppingRunsWouldLoseMoreWork() {
            fixture.state.endInheritance();
            fillRack("r1-1", 1);
            fixture.addIdleWorker("x", "r1-2").addIdleWorker("y", "r1-3");
            fixture.advanceClock(60_000)
                    .submit(9, 0, step(2, 15_000, 79_000, 8).gang().rackLocal());
            assertEquals(List.of(), fixture.decide());
            fixture.advanceClock(1_200);
            List<Order> orders = fixture.decide();
            assertEquals(List.of(), SchedulerFixture.ordersOfType(Order.Stop.class, orders));
            assertEquals(2, SchedulerFixture.ordersOfType(Order.Start.class, orders).size());
        }
    }
}
