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

/**
 * Tests which workers are stragglers, with one task on each of six workers, whose progress the
 * tests set.
 */
class StragglerDetectorTest {

    private static final int WORKERS = 6;
    private static final int WORKER_ACCELERATORS = 8;

    private final SchedulerFixture fixture = new SchedulerFixture();
    private final Map<String, Order.Start> runs = new HashMap<>();
    private long seconds;

    @BeforeEach
    void startOneTaskOnEachWorker() {
        for (int i = 1; i <= WORKERS; i++) {
            fixture.addIdleWorker("w" + i, "r1-1");
        }
        fixture.submit(1, 2, step(WORKERS, 1_000, 1_000, WORKER_ACCELERATORS - 1));
        fixture.startAll().forEach(start -> runs.put(start.worker().value(), start));
        assertEquals(WORKERS, runs.size());
    }

    /** Advances the clock by the given seconds, with a report of each worker every second. */
    private void advanceSeconds(int count, ToIntFunction<String> percentPerSecond) {
        for (int i = 0; i < count; i++) {
            seconds++;
            fixture.advanceClock(1_000);
            runs.forEach(
                    (name, start) -> {
                        int percent = (int) (seconds * percentPerSecond.applyAsInt(name));
                        fixture.report(
                                name,
                                new WorkerLists.Running(start.task(), start.run(), "", percent));
                    });
            fixture.decide();
        }
    }

    private Set<WorkerId> stragglers() {
        return fixture.state.stragglers();
    }

    private static WorkerId worker(String name) {
        return WorkerId.of(name);
    }

    @Nested
    class Straggler {

        @Test
        void isAWorkerWhoseRunIsMuchSlower() {
            advanceSeconds(4, name -> name.equals("w3") ? 2 : 12);
            assertEquals(Set.of(worker("w3")), stragglers());
        }

        @Test
        void isAWorkerWhoseRunMakesNoProgress() {
            advanceSeconds(4, name -> name.equals("w3") ? 0 : 12);
            assertEquals(Set.of(worker("w3")), stragglers());
        }

        @Test
        void getsNoNewTasks() {
            advanceSeconds(4, name -> name.equals("w3") ? 2 : 12);
            fixture.submit(2, 0, step(WORKERS, 1_000, 1_000, 1));
            List<Order.Start> starts = fixture.startAll();
            assertEquals(WORKERS - 1, starts.size());
            assertEquals(0, starts.stream().filter(s -> s.worker().equals(worker("w3"))).count());
        }

        @Test
        void isNoLongerReportedOnceItsRunSpeedsUp() {
            advanceSeconds(4, name -> name.equals("w3") ? 2 : 12);
            advanceSeconds(4, name -> 12);
            assertEquals(Set.of(), stragglers());
        }
    }

    @Nested
    class NoStraggler {

        @Test
        void isAWorkerOfASlowerModel() {
            advanceSeconds(5, name -> name.equals("w3") ? 8 : 12);
            assertEquals(Set.of(), stragglers());
        }

        @Test
        void isFoundIfMostWorkersAreSlow() {
            advanceSeconds(5, name -> name.equals("w1") ? 12 : 0);
            assertEquals(Set.of(), stragglers());
        }
    }
}
