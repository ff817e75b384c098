package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.running;
import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.task.RunEnd;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests for how long tasks wait beside a free worker on which tasks have failed. */
class AvoidedWorkersTest {

    /** Three seconds, less the time for a round and a start. */
    private static final long LONGEST_WAIT_BESIDE_ROOM_MILLIS = 2_500;

    private final SchedulerFixture fixture =
            new SchedulerFixture()
                    .addIdleWorker("w3", "r2-1")
                    .addIdleWorker("w4", "r2-1")
                    .addIdleWorker("w5", "r2-1");

    private static SchedulerFixture.StepBuilder stepInRack(int accelerators) {
        return step(1, 1_000, 1_000, accelerators).label("r1-1");
    }

    @Nested
    class AreUsedOnAMostlyIdleFleetIfNoOtherHasCapacity {

        /** Guards against a task that stands still beside a free worker on which it failed. */
        @Test
        void byATaskThatFailedThere() {
            fixture.addIdleWorker("w1", "r1-1");
            fixture.submit(1, 1, stepInRack(8));
            Order.Start first = fixture.startAll().get(0);
            fixture.addIdleWorker("w2", "r1-1");
            fixture.submit(2, 1, stepInRack(8));
            assertEquals(1, fixture.startAll().size());
            fixture.reportEnd(first, RunEnd.FAILED);
            assertEquals(List.of(), fixture.startAll());
            fixture.advanceClock(LONGEST_WAIT_BESIDE_ROOM_MILLIS);
            assertEquals(first.worker(), fixture.startAll().get(0).worker());
        }

        /** Guards against tasks that stand still while all workers for them are paused. */
        @Test
        void byAllTasksAfterFailuresOfSeveralJobs() {
            fixture.addIdleWorker("w1", "r1-1");
            fixture.submit(1, 1, stepInRack(1));
            fixture.submit(2, 1, stepInRack(1));
            List<Order.Start> starts = fixture.startAll();
            assertEquals(2, starts.size());
            fixture.reportEnd(
                    starts.get(0),
                    RunEnd.FAILED,
                    running(starts.get(1).task(), starts.get(1).run()));
            fixture.reportEnd(starts.get(1), RunEnd.FAILED);
            assertEquals(List.of(), fixture.startAll());
            fixture.advanceClock(LONGEST_WAIT_BESIDE_ROOM_MILLIS);
            assertEquals(2, fixture.startAll().size());
        }
    }

    @Nested
    class AreNotUsed {

        @Test
        void byATaskThatFailedThereWhileHalfOfTheFleetIsBusy() {
            fixture.addIdleWorker("w1", "r1-1");
            fixture.submit(1, 1, stepInRack(8));
            Order.Start first = fixture.startAll().get(0);
            fixture.submit(2, 1, step(3, 1_000, 1_000, 8).label("r2-1"));
            assertEquals(3, fixture.startAll().size());
            fixture.addIdleWorker("w2", "r1-1");
            fixture.submit(3, 1, stepInRack(8));
            assertEquals(1, fixture.startAll().size());
            fixture.reportEnd(first, RunEnd.FAILED);
            fixture.advanceClock(LONGEST_WAIT_BESIDE_ROOM_MILLIS);
            assertEquals(List.of(), fixture.startAll());
        }
    }
}
