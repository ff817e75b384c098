package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.running;
import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.task.RunEnd;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what the scheduler state keeps of a worker that restarts under its identifier. */
class RestartedWorkerTest {

    private final SchedulerFixture fixture = new SchedulerFixture();

    @Nested
    class RestartedWorker {

        private Order.Start startOnOnlyWorker() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1").submit(1, 1, step(1, 52_000, 270_000, 8));
            return fixture.decideStarts().get(0);
        }

        private void registerRestartedWorker() {
            fixture.restartUnnoticed("w1").registerWorker("w1", "r1-1");
        }

        /** Guards against a second run of a task that the new incarnation has. */
        @Test
        void keepsARunThatItsNewIncarnationMayHaveStarted() {
            Order.Start start = startOnOnlyWorker();
            fixture.confirmStart(start);
            registerRestartedWorker();
            fixture.addIdleWorker("w2", "r1-1");
            assertEquals(List.of(), fixture.decide());
            fixture.report("w1", running(start.task(), start.run()));
            assertEquals(List.of(), fixture.decide());
        }

        @Test
        void losesAnAnsweredRunThatItsNewIncarnationDoesNotList() {
            fixture.confirmStart(startOnOnlyWorker());
            registerRestartedWorker();
            fixture.report("w1");
            assertEquals(1, fixture.decideStarts().size());
        }

        @Test
        void losesAListedRunAtOnceWhenItsEntryIsRead() {
            Order.Start start = startOnOnlyWorker();
            fixture.confirmStart(start);
            fixture.report("w1", running(start.task(), start.run()));
            fixture.addIdleWorker("w2", "r1-1");
            registerRestartedWorker();
            assertEquals("w2", fixture.decideStarts().get(0).worker().value());
        }

        /** Guards against capacity counted as free while the new incarnation has runs. */
        @Test
        void getsNoStartsBeforeItsNewIncarnationReports() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1");
            registerRestartedWorker();
            fixture.submit(1, 1, step(1, 52_000, 270_000, 8));
            assertEquals(List.of(), fixture.decide());
            assertTrue(fixture.state.workerReports().needsPolling(SchedulerFixture.worker("w1")));
            fixture.report("w1");
            assertEquals(1, fixture.decideStarts().size());
        }

        /** Guards against starts by the labels and the capacity of the earlier incarnation. */
        @Test
        void getsNoStartsBeforeTheEntryOfItsNewIncarnationIsRead() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1-1");
            fixture.restartUnnoticed("w1").report("w1");
            fixture.submit(1, 1, step(1, 52_000, 270_000, 8));
            assertEquals(List.of(), fixture.decide());
            fixture.registerWorker("w1", "r1-1");
            assertEquals(1, fixture.decideStarts().size());
        }

        /** Guards against ends and runs of an earlier incarnation in an answer that is late. */
        @Test
        void ignoresListsOfItsEarlierIncarnation() {
            Order.Start start = startOnOnlyWorker();
            fixture.confirmStart(start);
            fixture.restartWorker("w1");
            fixture.state.updateRuns(
                    start.worker(),
                    new WorkerLists(
                            1,
                            List.of(running(start.task(), start.run())),
                            List.of(
                                    new WorkerLists.Ended(
                                            7, start.task(), start.run(), RunEnd.FAILED, ""))),
                    fixture.now().monotonicMillis(),
                    true,
                    fixture.now());
            assertEquals(0, fixture.state.workerReports().lastEndNumber(start.worker()));
            assertEquals(0, fixture.state.workerReports().countRuns());
        }

        /** Guards against the first attempt at a start that reaches the new incarnation. */
        @Test
        void isSentTheStopOfAListedRunWhoseStartWasRepeated() {
            Order.Start start = startOnOnlyWorker();
            assertTrue(fixture.state.handleFailedStart(start, true, fixture.now()));
            fixture.confirmStart(start);
            fixture.report("w1", running(start.task(), start.run()));
            assertEquals(List.of(), fixture.decide());
            fixture.restartWorker("w1");
            assertEquals(start.run(), fixture.decideStops().get(0).run());
            assertEquals(List.of(), fixture.decideStarts());
        }

        /** Guards against an unanswered start that reaches the new incarnation. */
        @Test
        void isSentTheStopOfAnUnansweredStartAgain() {
            Order.Start start = startOnOnlyWorker();
            fixture.state.handleStartOutcome(start, StartOutcome.UNKNOWN, fixture.now());
            fixture.state.confirmStopOrder(fixture.decideStops().get(0), fixture.now());
            fixture.restartWorker("w1");
            List<Order> orders = fixture.decide();
            assertEquals(List.of(), SchedulerFixture.ordersOfType(Order.Start.class, orders));
            List<Order.Stop> stops = SchedulerFixture.ordersOfType(Order.Stop.class, orders);
            fixture.state.confirmStopOrder(stops.get(0), fixture.now());
            fixture.report("w1");
            assertEquals(1, fixture.decideStarts().size());
        }
    }
}
