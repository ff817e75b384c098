package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.job;
import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.task.RunEnd;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what is learnt from jobs of one task each, with an estimate of two seconds. */
class RunTimeModelTest {

    private static final long ESTIMATE_MILLIS = 2_000;
    private static final long FORGET_MILLIS = 120_000;

    /** The latest start is after the acceptance by (slack - 1) run times plus the target. */
    private static final int SLACK_LESS_RUN = 2;

    private final SchedulerFixture fixture = new SchedulerFixture();
    private int jobs;

    RunTimeModelTest() {
        fixture.addIdleWorker("w1", "r1").addIdleWorker("w2", "r2");
    }

    private static SchedulerFixture.StepBuilder task() {
        return step(1, 1_000, 1_000, 1).estimateMillis(ESTIMATE_MILLIS);
    }

    private void runJobs(int count, long runMillis, SchedulerFixture.StepBuilder step) {
        for (int i = 0; i < count; i++) {
            fixture.submit(++jobs, 1, step);
            List<Order.Start> starts = fixture.startAll();
            fixture.advanceClock(runMillis);
            starts.forEach(start -> fixture.reportEnd(start, RunEnd.DONE));
            fixture.decide();
        }
    }

    private TaskGroup waitingGroup(SchedulerFixture.StepBuilder step) {
        fixture.submit(++jobs, 1, step.label("nowhere"));
        fixture.decide();
        fixture.decide();
        return fixture.state.jobs().find(job(jobs)).orElseThrow().groups().iterator().next();
    }

    private long expectedMillis() {
        return waitingGroup(task()).expectedMillis();
    }

    @Nested
    class ExpectedRunTime {

        @Test
        void isTheEstimateAtFirst() {
            assertEquals(ESTIMATE_MILLIS, expectedMillis());
        }

        @Test
        void isTheEstimateAfterFewJobs() {
            runJobs(3, 4_000, task());
            assertEquals(ESTIMATE_MILLIS, expectedMillis());
        }

        @Test
        void isTheEstimateWhereThatIsRight() {
            runJobs(20, ESTIMATE_MILLIS, task());
            assertEquals(ESTIMATE_MILLIS, expectedMillis());
        }

        @Test
        void isLearntFromJobs() {
            runJobs(20, 4_000, task());
            assertEquals(4_000, expectedMillis(), 100);
        }

        @Test
        void isLearntFromOtherShapesOfTheQueue() {
            runJobs(20, 4_000, task());
            TaskGroup group =
                    waitingGroup(step(1, 2_000, 1_000, 1).estimateMillis(ESTIMATE_MILLIS));
            assertEquals(4_000, group.expectedMillis(), 100);
        }

        /** Guards against corrections that outlast the workload that they were learnt from. */
        @Test
        void followsAShiftOfTheWorkload() {
            runJobs(20, 4_000, task());
            runJobs(40, 1_000, task());
            assertEquals(1_200, expectedMillis(), 300);
        }

        @Test
        void isTheEstimateAfterTheJobsAreForgotten() {
            runJobs(20, 4_000, task());
            fixture.advanceClock(FORGET_MILLIS);
            assertEquals(ESTIMATE_MILLIS, expectedMillis());
        }

        /** Guards against the slowdown by another rack that is taken for the usual run time. */
        @Test
        void isNotLearntFromRunsOutsideTheirDataRack() {
            runJobs(20, 6_000, task().dataRack("r3"));
            assertEquals(ESTIMATE_MILLIS, expectedMillis());
        }
    }

    @Test
    void latestStartFollowsTheExpectedRunTime() {
        long estimated = waitingGroup(task()).latestStartMillis() - fixture.now().wallMillis();
        runJobs(20, 4_000, task());
        TaskGroup group = waitingGroup(task());
        assertEquals(
                estimated + SLACK_LESS_RUN * (group.expectedMillis() - ESTIMATE_MILLIS),
                group.latestStartMillis() - fixture.now().wallMillis());
    }

    @Test
    void errorsOfEstimatesAreReportedOnce() {
        runJobs(1, 4_000, task());
        List<EstimationError> errors = fixture.state.observations().takeEstimationErrors();
        assertEquals(List.of(new EstimationError("q1", 50)), errors);
        assertEquals(List.of(), fixture.state.observations().takeEstimationErrors());
    }
}
