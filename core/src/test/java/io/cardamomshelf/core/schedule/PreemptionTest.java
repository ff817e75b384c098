package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.base.JobId;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which runs are stopped for work that comes before them. */
class PreemptionTest {

    private static final int ACCELERATORS = 8;

    private final SchedulerFixture fixture = new SchedulerFixture();

    private Set<JobId> stoppedJobs() {
        return fixture.decideStops().stream()
                .map(stop -> stop.task().job())
                .collect(Collectors.toSet());
    }

    private static SchedulerFixture.StepBuilder tasks(int count, int accelerators) {
        return step(count, 1_000, 1_000, accelerators);
    }

    @Nested
    class ForAnUrgentGang {

        private static final int OTHER_TASK = 1;
        private static final int OLD_TASK = 2;
        private static final int GANG = 3;

        /** Guards against plans that pay for a gang once for each of its workers. */
        @Test
        void usesTheCapacityOfAllMembersOfAStoppedGang() {
            fixture.state.endInheritance();
            fixture.addIdleWorker("w1", "r1").addIdleWorker("w2", "r2").addIdleWorker("w3", "r3");
            fixture.submit(OLD_TASK, 1, tasks(1, 2).dataRack("r2")).startAll();
            fixture.advanceClock(10_000);
            fixture.submit(OTHER_TASK, 1, tasks(1, ACCELERATORS).dataRack("r3")).startAll();
            fixture.advanceClock(5_000);
            fixture.submit(GANG, 1, tasks(2, 6).gang()).startAll();
            fixture.advanceClock(5_000);
            fixture.submit(9, 0, tasks(2, ACCELERATORS).gang());
            assertEquals(
                    Set.of(SchedulerFixture.job(GANG), SchedulerFixture.job(OLD_TASK)),
                    stoppedJobs());
        }
    }

    @Nested
    class ForAGangThatWouldBeLate {

        private static final int SINGLE_TASKS = 1;
        private static final int GANG = 2;
        private static final long LONG_MILLIS = 60_000;

        /** From the acceptance of the gang to its latest start, in milliseconds. */
        private static final long LATEST_START_MILLIS = 13_500;

        @BeforeEach
        void addAWorker() {
            fixture.addIdleWorker("w1", "r1-1");
        }

        private void startSingleTasks(long estimateMillis) {
            fixture.submit(SINGLE_TASKS, 2, tasks(ACCELERATORS, 1).estimateMillis(estimateMillis));
            assertEquals(ACCELERATORS, fixture.startAll().size());
        }

        private void submitGang() {
            fixture.submit(GANG, 1, tasks(1, ACCELERATORS).gang());
        }

        /** Guards against gangs that miss their objective while less urgent work has time left. */
        @Test
        void stopsLessUrgentRunsThatHaveTimeToRestart() {
            startSingleTasks(LONG_MILLIS);
            submitGang();
            assertEquals(Set.of(SchedulerFixture.job(SINGLE_TASKS)), stoppedJobs());
        }

        @Test
        void stopsNothingIfTheRunsEndInTime() {
            startSingleTasks(6_000);
            submitGang();
            assertEquals(Set.of(), stoppedJobs());
        }

        @Test
        void stopsNothingOnceItIsLate() {
            startSingleTasks(LONG_MILLIS);
            submitGang();
            fixture.advanceClock(LATEST_START_MILLIS + 1);
            assertEquals(Set.of(), stoppedJobs());
        }

        @Test
        void stopsNoRunThatWouldBeLateByIt() {
            fixture.submit(SINGLE_TASKS, 2, tasks(ACCELERATORS, 1).estimateMillis(LONG_MILLIS));
            fixture.advanceClock(100_000);
            assertEquals(ACCELERATORS, fixture.startAll().size());
            submitGang();
            assertEquals(Set.of(), stoppedJobs());
        }

        @Test
        void stopsNoRunOfEqualPriority() {
            fixture.submit(SINGLE_TASKS, 1, tasks(ACCELERATORS, 1).estimateMillis(LONG_MILLIS));
            assertEquals(ACCELERATORS, fixture.startAll().size());
            submitGang();
            assertEquals(List.of(), fixture.decideStops());
        }
    }
}
