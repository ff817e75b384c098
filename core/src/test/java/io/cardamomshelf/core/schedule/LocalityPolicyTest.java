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

    private static final int HALF_OF_A_WORKER = 4;
    private static final long NON_LOCAL_EXTRA_MILLIS = 2 * 6_000;

    /**
     * The objective of the fixture's jobs: 3 times the estimate of 6 s, plus the target of 1.5 s.
     */
    private static final long OBJECTIVE_MILLIS = 19_500;

    private final SchedulerFixture fixture =
            new SchedulerFixture().addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r2-1");
    private List<Order.Start> earlierStarts;

    /** Occupies half of each worker for about the given time, then submits the gang. */
    private void submitGangBehindTasks(long estimateMillis) {
        fixture.submit(
                1,
                2,
                step(2, 1_000, 1_000, HALF_OF_A_WORKER)
                        .maxPerWorker(1)
                        .estimateMillis(estimateMillis));
        earlierStarts = fixture.startAll();
        assertEquals(2, earlierStarts.size());
        fixture.submit(2, 1, step(2, 1_000, 1_000, HALF_OF_A_WORKER).gang().rackLocal());
    }

    private int countStartsWithin(long millis) {
        int atOnce = fixture.startAll().size();
        fixture.advanceClock(millis);
        return atOnce + fixture.startAll().size();
    }

    @Nested
    class WaitsForItsRack {

        @Test
        void ifTheRackIsFreeWithinTheExtraTimeOfANonLocalRun() {
            submitGangBehindTasks(NON_LOCAL_EXTRA_MILLIS - 1_000);
            assertEquals(0, countStartsWithin(0));
        }

        @Test
        void evenAfterALongWaitIfTheRackIsFreeSoon() {
            submitGangBehindTasks(NON_LOCAL_EXTRA_MILLIS + 3_000);
            fixture.advanceClock(4_000);
            assertEquals(0, countStartsWithin(NON_LOCAL_EXTRA_MILLIS));
        }
    }

    @Nested
    class RunsElsewhere {

        @Test
        void atOnceIfItsRackStaysBusyForLonger() {
            submitGangBehindTasks(60_000);
            assertEquals(2, countStartsWithin(0));
        }

        @Test
        void onceItIsStarved() {
            submitGangBehindTasks(NON_LOCAL_EXTRA_MILLIS - 1_000);
            assertEquals(0, countStartsWithin(0));
            assertEquals(2, countStartsWithin(2 * OBJECTIVE_MILLIS + 1));
        }
    }

    /** Each of three racks has one busy worker, and no rack has room for the whole gang. */
    @Nested
    class OnAMostlyIdleFleet {

        private static final int RACKS = 3;
        private static final int WORKERS_PER_RACK = 4;
        private static final int WHOLE_WORKER = 8;

        /** Three seconds, less the time for a round and a start. */
        private static final long LONGEST_WAIT_BESIDE_ROOM_MILLIS = 2_500;

        private final SchedulerFixture idleFleet = new SchedulerFixture();

        private void occupyAWorkerOfEachRack() {
            for (int rack = 1; rack <= RACKS; rack++) {
                for (int worker = 1; worker <= WORKERS_PER_RACK; worker++) {
                    idleFleet.addIdleWorker("w" + rack + "-" + worker, "r" + rack);
                }
                idleFleet.submit(rack, 1, step(1, 1_000, 1_000, WHOLE_WORKER).label("r" + rack));
            }
            assertEquals(RACKS, idleFleet.startAll().size());
        }

        /** Guards against a gang that stands still beside room for it twice over. */
        @Test
        void aGangDoesNotWaitForItsRackForLong() {
            occupyAWorkerOfEachRack();
            idleFleet.submit(
                    4, 1, step(WORKERS_PER_RACK, 1_000, 1_000, WHOLE_WORKER).gang().rackLocal());
            assertEquals(0, idleFleet.startAll().size());
            idleFleet.advanceClock(LONGEST_WAIT_BESIDE_ROOM_MILLIS);
            assertEquals(WORKERS_PER_RACK, idleFleet.startAll().size());
        }
    }
}
