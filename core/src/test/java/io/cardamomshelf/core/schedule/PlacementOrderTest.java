package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.task.RunEnd;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests which waiting job gets a worker that becomes free. The jobs of the fixture have an
 * objective of three times their estimate and 1.5 s.
 */
class PlacementOrderTest {

    private static final int EARLIER = 2;
    private static final int LATER = 3;
    private static final long LONG_MILLIS = 60_000;
    private static final long SHORT_MILLIS = 6_000;

    /** From acceptance to the latest start of a short job, in milliseconds. */
    private static final long LATEST_START_MILLIS = 13_500;

    private final SchedulerFixture fixture = new SchedulerFixture();
    private Order.Start running;

    @BeforeEach
    void occupyTheOnlyWorker() {
        fixture.addIdleWorker("w1", "r1-1").submit(1, 0, gang(1_000_000));
        running = fixture.startAll().get(0);
    }

    private static SchedulerFixture.StepBuilder gang(long estimateMillis) {
        return step(1, 1_000, 1_000, 8).gang().estimateMillis(estimateMillis);
    }

    /** Ends the run on the worker, and asserts which job starts there. */
    private void assertStartsNext(int job) {
        fixture.reportEnd(running, RunEnd.DONE);
        List<Order.Start> starts = fixture.decideStarts();
        assertEquals(SchedulerFixture.job(job), starts.get(0).task().job());
    }

    @Nested
    class OfEqualPriority {

        @Test
        void theJobWithTheEarlierLatestStartComesFirst() {
            fixture.submit(EARLIER, 1, gang(LONG_MILLIS)).advanceClock(100);
            fixture.submit(LATER, 1, gang(SHORT_MILLIS));
            assertStartsNext(LATER);
        }

        /** Guards against an overload in which each late job makes the next one late. */
        @Test
        void aLateJobComesAfterOneThatCanMeetItsObjective() {
            fixture.submit(EARLIER, 1, gang(SHORT_MILLIS)).advanceClock(LATEST_START_MILLIS + 1);
            fixture.submit(LATER, 1, gang(SHORT_MILLIS));
            assertStartsNext(LATER);
        }

        @Test
        void aStarvedJobComesFirstAgain() {
            fixture.submit(EARLIER, 1, gang(SHORT_MILLIS)).advanceClock(2 * 19_500 + 1);
            fixture.submit(LATER, 1, gang(SHORT_MILLIS));
            assertStartsNext(EARLIER);
        }

        @Test
        void jobsOfManySingleTasksKeepTheOrderOfAcceptance() {
            fixture.submit(EARLIER, 1, step(2, 1_000, 1_000, 8).estimateMillis(SHORT_MILLIS));
            fixture.advanceClock(LATEST_START_MILLIS + 1);
            fixture.submit(LATER, 1, step(2, 1_000, 1_000, 8).estimateMillis(SHORT_MILLIS));
            assertStartsNext(EARLIER);
        }

        @Test
        void urgentJobsKeepTheOrderOfAcceptance() {
            fixture.submit(EARLIER, 0, gang(SHORT_MILLIS)).advanceClock(LATEST_START_MILLIS + 1);
            fixture.submit(LATER, 0, gang(SHORT_MILLIS));
            assertStartsNext(EARLIER);
        }
    }

    @Nested
    class OfDifferentPriority {

        @Test
        void aLateJobStillComesBeforeLessUrgentOnes() {
            fixture.submit(EARLIER, 1, gang(SHORT_MILLIS)).advanceClock(LATEST_START_MILLIS + 1);
            fixture.submit(LATER, 2, gang(SHORT_MILLIS));
            assertStartsNext(EARLIER);
        }
    }
}
