package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.WORKER_CAPACITY;
import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the load that the scheduler reports for its accelerators. */
class FleetLoadTest {

    private final SchedulerFixture fixture =
            new SchedulerFixture().addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");

    @Nested
    class WhileTasksWait {

        @Test
        void countsRunningAndWaitingAcceleratorsByPriority() {
            fixture.submit(1, 2, step(1, 1_000, 1_000, 6));
            fixture.submit(2, 1, step(1, 1_000, 1_000, 4));
            fixture.submit(3, 1, step(2, 1_000, 1_000, 8).gang());
            fixture.startAll();
            FleetLoad load = fixture.state.load(fixture.now());
            assertEquals(16, load.accelerators());
            assertEquals(6, load.free());
            assertEquals(2 * WORKER_CAPACITY.memoryMb() - 2_000, load.freeMemoryMb());
            assertEquals(0, load.idleWorkers());
            assertEquals(Map.of(1, 4, 2, 6), load.running());
            assertEquals(Map.of(1, 16), load.waiting());
        }

        @Test
        void countsOnlyFreeAcceleratorsAsHeld() {
            fixture.submit(1, 2, step(1, 1_000, 1_000, 6));
            fixture.startAll();
            fixture.submit(2, 1, step(2, 1_000, 1_000, 8).gang());
            fixture.decide();
            fixture.advanceClock(2_000);
            fixture.decide();
            FleetLoad load = fixture.state.load(fixture.now());
            assertEquals(10, load.free());
            assertEquals(10, load.held());
        }
    }

    @Nested
    class IdleFleet {

        @Test
        void isEntirelyFree() {
            fixture.decide();
            FleetLoad load = fixture.state.load(fixture.now());
            assertEquals(16, load.free());
            assertEquals(2, load.idleWorkers());
            assertEquals(0, load.held());
            assertEquals(Map.of(), load.waiting());
        }
    }
}
