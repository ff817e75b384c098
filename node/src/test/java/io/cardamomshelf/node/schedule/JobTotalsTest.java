package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.Order;
import io.cardamomshelf.core.task.TaskId;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what is logged of the orders for a job when it ends. */
class JobTotalsTest {

    private static final WorkerId WORKER = WorkerId.of("w1");

    private final JobTotals totals = new JobTotals();

    private static TaskId task(int index) {
        return TaskId.of(JobId.of("00000000000000aa"), 0, 0, index);
    }

    private void start(int index, long run, String rack, long nowMillis) {
        totals.addStart(new Order.Start(WORKER, task(index), run, "", "", ""), rack, nowMillis);
    }

    private void stop(int index, long run, long nowMillis) {
        totals.addStop(
                new Order.Stop(WORKER, task(index), run, Order.StopReason.RECLAIMED), nowMillis);
    }

    @Nested
    class Stops {

        @Test
        void sumUpTheAgesOfTheStoppedRuns() {
            start(0, 1, "r1", 1_000);
            start(1, 1, "r1", 1_000);
            stop(0, 1, 1_400);
            stop(1, 1, 1_500);
            start(0, 2, "r1", 2_000);
            stop(0, 2, 2_050);
            assertEquals(950, totals.stoppedRunMillis());
            assertEquals(Map.of(Order.StopReason.RECLAIMED, 3), totals.stops());
        }

        @Test
        void ofRunsThatAnEarlierSchedulerStartedAddNoAge() {
            stop(0, 1, 1_400);
            assertEquals(0, totals.stoppedRunMillis());
            assertEquals(Map.of(Order.StopReason.RECLAIMED, 1), totals.stops());
        }
    }

    @Nested
    class Starts {

        @Test
        void inTwoRacksCountAsOneSpreadRun() {
            start(0, 1, "r1", 1_000);
            start(1, 1, "r2", 1_000);
            start(2, 1, "r2", 1_000);
            start(0, 2, "r2", 2_000);
            assertEquals(1, totals.spreadRuns());
            assertEquals(4, totals.starts());
            assertEquals(1_000, totals.firstStartMillis());
        }
    }
}
