package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.base.WorkerId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** One task on each of six workers, whose progress the tests set. */
class StragglerDetectorTest {

    private static final int WORKERS = 6;
    private static final int WHOLE_WORKER = 8;

    private final SchedulerFixture scene = new SchedulerFixture();
    private final Map<String, Order.Start> runs = new HashMap<>();
    private long seconds;

    @BeforeEach
    void startOneTaskOnEach() {
        for (int i = 1; i <= WORKERS; i++) {
            scene.openWorker("w" + i, "r1-1");
        }
        scene.submit(1, 2, step(WORKERS, 1_000, 1_000, WHOLE_WORKER - 1));
        scene.startAll().forEach(start -> runs.put(start.worker().value(), start));
        assertEquals(WORKERS, runs.size());
    }

    /** Lets seconds pass with a list of each worker each second. */
    private void pass(int count, ToIntFunction<String> percentPerSecond) {
        for (int i = 0; i < count; i++) {
            seconds++;
            scene.pass(1_000);
            runs.forEach(
                    (name, start) -> {
                        int percent = (int) (seconds * percentPerSecond.applyAsInt(name));
                        scene.report(
                                name,
                                new WorkerLists.Running(start.task(), start.run(), "", percent));
                    });
            scene.decide();
        }
    }

    private Set<WorkerId> lagging() {
        return scene.board.stragglers();
    }

    private static WorkerId worker(String name) {
        return WorkerId.of(name);
    }

    @Nested
    class Lags {

        @Test
        void aWorkerOnWhichWorkIsMuchSlower() {
            pass(4, name -> name.equals("w3") ? 2 : 12);
            assertEquals(Set.of(worker("w3")), lagging());
        }

        @Test
        void aWorkerOnWhichAllStandsStill() {
            pass(4, name -> name.equals("w3") ? 0 : 12);
            assertEquals(Set.of(worker("w3")), lagging());
        }

        @Test
        void andGetsNothingNew() {
            pass(4, name -> name.equals("w3") ? 2 : 12);
            scene.submit(2, 0, step(WORKERS, 1_000, 1_000, 1));
            List<Order.Start> starts = scene.startAll();
            assertEquals(WORKERS - 1, starts.size());
            assertEquals(0, starts.stream().filter(s -> s.worker().equals(worker("w3"))).count());
        }

        @Test
        void noLongerThanItIsSlow() {
            pass(4, name -> name.equals("w3") ? 2 : 12);
            pass(4, name -> 12);
            assertEquals(Set.of(), lagging());
        }
    }

    @Nested
    class Sound {

        @Test
        void isAWorkerOfTheSlowKind() {
            pass(5, name -> name.equals("w3") ? 8 : 12);
            assertEquals(Set.of(), lagging());
        }

        @Test
        void areAllIfMostAreSlow() {
            pass(5, name -> name.equals("w1") ? 12 : 0);
            assertEquals(Set.of(), lagging());
        }
    }
}
