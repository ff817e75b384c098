package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** What the scheduler tells of its accelerators. */
class FleetLoadTest {

    private final SchedulerFixture scene =
            new SchedulerFixture().openWorker("w1", "r1-1").openWorker("w2", "r1-1");

    @Nested
    class WhileWorkWaits {

        @Test
        void tellsWhatRunsAndWhatWaitsByPriority() {
            scene.submit(1, 2, step(1, 1_000, 1_000, 6));
            scene.submit(2, 1, step(1, 1_000, 1_000, 4));
            scene.submit(3, 1, step(2, 1_000, 1_000, 8).gang());
            scene.startAll();
            FleetLoad load = scene.board.load(scene.now());
            assertEquals(16, load.accelerators());
            assertEquals(6, load.free());
            assertEquals(Map.of(1, 4, 2, 6), load.running());
            assertEquals(Map.of(1, 16), load.waiting());
        }

        @Test
        void countsAsHeldOnlyWhatIsFree() {
            scene.submit(1, 2, step(1, 1_000, 1_000, 6));
            scene.startAll();
            scene.submit(2, 1, step(2, 1_000, 1_000, 8).gang());
            scene.decide();
            scene.pass(2_000);
            scene.decide();
            FleetLoad load = scene.board.load(scene.now());
            assertEquals(10, load.free());
            assertEquals(10, load.held());
        }
    }

    @Nested
    class Idle {

        @Test
        void isAllFree() {
            scene.decide();
            FleetLoad load = scene.board.load(scene.now());
            assertEquals(16, load.free());
            assertEquals(0, load.held());
            assertEquals(Map.of(), load.waiting());
        }
    }
}
