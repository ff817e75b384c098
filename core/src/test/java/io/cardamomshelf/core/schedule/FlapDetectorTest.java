package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static io.cardamomshelf.core.schedule.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which workers get starts after outages. */
class FlapDetectorTest {

    private static final long OUTAGE_MILLIS = 1_000;

    private final SchedulerFixture fixture =
            new SchedulerFixture().addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");

    private void loseAndRegain(String name) {
        fixture.state.setUnresponsive(worker(name), true);
        fixture.decide();
        fixture.advanceClock(OUTAGE_MILLIS);
        fixture.report(name);
        fixture.decide();
    }

    /** Fills the other worker with the first of two jobs of a task that needs a whole worker. */
    private int startsOfTwo(boolean gang) {
        for (int i = 1; i <= 2; i++) {
            SchedulerFixture.StepBuilder whole = step(1, 1_000, 1_000, 8);
            fixture.submit(i, 1, gang ? whole.gang() : whole);
        }
        return fixture.startAll().size();
    }

    @Nested
    class AfterOneOutage {

        /** Guards against gangs that start on a flapping worker and are lost with it. */
        @Test
        void aWorkerGetsNoGangAtFirst() {
            loseAndRegain("w1");
            assertEquals(1, startsOfTwo(true));
            fixture.advanceClock(2_000);
            assertEquals(1, fixture.startAll().size());
        }

        /** Guards against idle capacity after a single outage. */
        @Test
        void aWorkerGetsSingleTasks() {
            loseAndRegain("w1");
            assertEquals(2, startsOfTwo(false));
        }
    }

    @Nested
    class AfterASecondOutage {

        /** Guards against tasks that are lost with each further outage. */
        @Test
        void aWorkerIsAvoidedByAllWork() {
            loseAndRegain("w1");
            fixture.advanceClock(OUTAGE_MILLIS);
            loseAndRegain("w1");
            assertEquals(1, startsOfTwo(false));
        }

        /** Guards against an avoidance that outlives the flapping. */
        @Test
        void aWorkerIsUsedAgainWhenItHasBeenSteady() {
            loseAndRegain("w1");
            loseAndRegain("w1");
            fixture.advanceClock(10_000);
            assertEquals(2, startsOfTwo(true));
        }
    }
}
