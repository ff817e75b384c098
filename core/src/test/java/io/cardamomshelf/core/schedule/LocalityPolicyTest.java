package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A gang that is slowed down outside one rack, while each rack has half of what it needs. */
class LocalityPolicyTest {

    private static final int HALF = 4;
    private static final long EXTRA_MILLIS = 2 * 6_000;

    private final SchedulerFixture scene =
            new SchedulerFixture().openWorker("w1", "r1-1").openWorker("w2", "r2-1");
    private List<Order.Start> others;

    /** Takes half of each worker for about so long, and lets the gang wait. */
    private void submitBehind(long othersMillis) {
        scene.submit(1, 2, step(2, 1_000, 1_000, HALF).apart(1).estimate(othersMillis));
        others = scene.startAll();
        assertEquals(2, others.size());
        scene.submit(2, 1, step(2, 1_000, 1_000, HALF).gang().rackLocal());
    }

    private int startsAfter(long millis) {
        int atOnce = scene.startAll().size();
        scene.pass(millis);
        return atOnce + scene.startAll().size();
    }

    @Nested
    class WaitsForItsRack {

        @Test
        void whileThatIsFreeSoonerThanADetourEnds() {
            submitBehind(EXTRA_MILLIS - 1_000);
            assertEquals(0, startsAfter(0));
        }

        @Test
        void alsoAfterALongWaitIfItIsFreeSoon() {
            submitBehind(EXTRA_MILLIS + 3_000);
            scene.pass(4_000);
            assertEquals(0, startsAfter(EXTRA_MILLIS));
        }
    }

    @Nested
    class RunsElsewhere {

        @Test
        void atOnceIfItsRackIsBusyForLonger() {
            submitBehind(60_000);
            assertEquals(2, startsAfter(0));
        }

        @Test
        void onceItHasStarved() {
            submitBehind(EXTRA_MILLIS - 1_000);
            assertEquals(0, startsAfter(0));
            assertEquals(2, startsAfter(2 * 19_500 + 1));
        }
    }
}
