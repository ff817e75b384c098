package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests a gang that is slower outside one rack, while each rack has half of the capacity it needs.
 */
class LocalityPolicyTest {

    private static final int HALF = 4;
    private static final long NON_LOCAL_EXTRA_MILLIS = 2 * 6_000;

    private final SchedulerFixture fixture =
            new SchedulerFixture().addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r2-1");
    private List<Order.Start> earlierStarts;

    /** Occupies half of each worker for about the given time, then submits the gang. */
    private void submitGangBehindTasks(long estimateMillis) {
        fixture.submit(
                1, 2, step(2, 1_000, 1_000, HALF).maxPerWorker(1).estimateMillis(estimateMillis));
        earlierStarts = fixture.startAll();
        assertEquals(2, earlierStarts.size());
        fixture.submit(2, 1, step(2, 1_000, 1_000, HALF).gang().rackLocal());
    }

    private int startsAfter(long millis) {
        int atOnce = fixture.startAll().size();
        fixture.advanceClock(millis);
        return atOnce + fixture.startAll().size();
    }

    @Nested
    class WaitsForItsRack {

        @Test
        void ifTheRackIsFreeBeforeANonLocalRunWouldEnd() {
            submitGangBehindTasks(NON_LOCAL_EXTRA_MILLIS - 1_000);
            assertEquals(0, startsAfter(0));
        }

        @Test
        void evenAfterALongWaitIfTheRackIsFreeSoon() {
            submitGangBehindTasks(NON_LOCAL_EXTRA_MILLIS + 3_000);
            fixture.advanceClock(4_000);
            assertEquals(0, startsAfter(NON_LOCAL_EXTRA_MILLIS));
        }
    }

    @Nested
    class RunsElsewhere {

        @Test
        void atOnceIfItsRackStaysBusyForLonger() {
            submitGangBehindTasks(60_000);
            assertEquals(2, startsAfter(0));
        }

        @Test
        void onceItIsStarved() {
            submitGangBehindTasks(NON_LOCAL_EXTRA_MILLIS - 1_000);
            assertEquals(0, startsAfter(0));
            assertEquals(2, startsAfter(2 * 19_500 + 1));
        }
    }
}
