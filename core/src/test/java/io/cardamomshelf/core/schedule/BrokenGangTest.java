package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.running;
import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static io.cardamomshelf.core.schedule.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.task.RunEnd;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests for gangs that lose a member with its worker, beside other workers with capacity. */
class BrokenGangTest {

    private final SchedulerFixture fixture = new SchedulerFixture();

    private List<Order.Start> startGang(int tasks) {
        for (int i = 1; i <= 2 * tasks; i++) {
            fixture.addIdleWorker("w" + i, "r1-1");
        }
        fixture.submit(1, 0, step(tasks, 1_000, 1_000, 8).gang());
        List<Order.Start> starts = fixture.startAll();
        assertEquals(tasks, starts.size());
        starts.forEach(
                start ->
                        fixture.report(start.worker().value(), running(start.task(), start.run())));
        return starts;
    }

    private void loseWorkerOf(Order.Start start) {
        fixture.state.setUnresponsive(start.worker(), true);
    }

    @Nested
    class StartsAgainBeforeTheLeaseOfTheLostWorkerExpires {

        /**
         * Guards against urgent gangs that wait for a lease of a dead worker, though the ends of
         * all other members show that the member there has ended.
         */
        @Test
        void ifAllOtherMembersBroke() {
            List<Order.Start> starts = startGang(3);
            loseWorkerOf(starts.get(0));
            fixture.reportEnd(starts.get(1), RunEnd.BROKEN);
            assertEquals(List.of(), fixture.decideStarts());
            fixture.reportEnd(starts.get(2), RunEnd.BROKEN);
            List<Order.Start> again = fixture.decideStarts();
            assertEquals(3, again.size());
            assertEquals(
                    0,
                    again.stream().filter(s -> s.worker().equals(starts.get(0).worker())).count());
        }
    }

    @Nested
    class WaitsForTheLease {

        /** Guards against a second run beside one on a worker that is only cut off. */
        @Test
        void ifAMemberWasStopped() {
            List<Order.Start> starts = startGang(3);
            loseWorkerOf(starts.get(0));
            fixture.reportEnd(starts.get(1), RunEnd.BROKEN);
            fixture.reportEnd(starts.get(2), RunEnd.STOPPED);
            assertEquals(List.of(), fixture.decideStarts());
        }

        /** Guards against a second run: of two lost workers, only one may have lost its member. */
        @Test
        void ifTwoWorkersWithMembersAreUnresponsive() {
            List<Order.Start> starts = startGang(3);
            loseWorkerOf(starts.get(0));
            loseWorkerOf(starts.get(1));
            fixture.reportEnd(starts.get(2), RunEnd.BROKEN);
            assertEquals(List.of(), fixture.decideStarts());
        }

        /** Guards against a start that arrives late at the worker's next incarnation. */
        @Test
        void ifAnAttemptAtTheStartGotNoAnswer() {
            List<Order.Start> starts = startGang(3);
            fixture.state.handleFailedStart(starts.get(0), true, fixture.now());
            loseWorkerOf(starts.get(0));
            fixture.reportEnd(starts.get(1), RunEnd.BROKEN);
            fixture.reportEnd(starts.get(2), RunEnd.BROKEN);
            assertEquals(List.of(), fixture.decideStarts());
        }

        /** Guards against taking a worker's next list for a contradiction: it reports the end. */
        @Test
        void unlessTheWorkerAnswersAgain() {
            List<Order.Start> starts = startGang(3);
            loseWorkerOf(starts.get(0));
            fixture.reportEnd(starts.get(1), RunEnd.BROKEN);
            fixture.reportEnd(starts.get(2), RunEnd.BROKEN);
            List<Order.Start> again = fixture.startAll();
            fixture.reportEnd(starts.get(0), RunEnd.FAILED);
            assertEquals(3, again.size());
            assertEquals(3, fixture.state.workerReports().countRuns());
            assertEquals(List.of(), fixture.decide());
        }
    }

    @Nested
    class KeepsAMemberOnAResponsiveWorker {

        /** Guards against removing a run whose worker reports its end itself. */
        @Test
        void untilItsWorkerReportsTheEnd() {
            List<Order.Start> starts = startGang(2);
            fixture.reportEnd(starts.get(1), RunEnd.BROKEN);
            fixture.decide();
            assertEquals(1, fixture.state.workerReports().countRuns());
            assertEquals(true, fixture.state.mayHaveRuns(worker(starts.get(0).worker().value())));
        }
    }
}
