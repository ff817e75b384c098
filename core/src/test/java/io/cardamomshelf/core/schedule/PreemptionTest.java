package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.base.JobId;
import java.util.Set;
import java.util.stream.Collectors;
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
}
