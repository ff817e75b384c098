package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.Resources;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which jobs are refused because no worker could ever run them. */
class FeasibilityTest {

    private static final WorkerInfo WORKER =
            new WorkerInfo(
                    WorkerId.of("w"),
                    1,
                    "rota",
                    Endpoint.parse("127.0.0.1:80"),
                    DataCentreId.of("jhb-a"),
                    "r1-1",
                    List.of("a", "r1-1"),
                    SchedulerFixture.WORKER_CAPACITY,
                    true,
                    0,
                    0);

    private static Optional<String> obstacle(
            List<WorkerInfo> workers, SchedulerFixture.StepBuilder... steps) {
        JobRequest request =
                new JobRequest(
                        "x",
                        List.of(steps).stream().map(SchedulerFixture.StepBuilder::build).toList(),
                        0,
                        0,
                        0);
        return Feasibility.obstacle(request, "rota", workers);
    }

    private static boolean isAllowed(int cap, SchedulerFixture.StepBuilder step) {
        JobRequest request = new JobRequest("x", List.of(step.build()), 0, 0, 0);
        OrganisationLimits limits = new OrganisationLimits(0, 0, Resources.of(0, 0, cap));
        return Feasibility.capObstacle(request, limits, 0.1).isEmpty();
    }

    @Nested
    class UnderACap {

        @Test
        void aGangMayNeedTheCapWithItsOverage() {
            assertTrue(isAllowed(10, step(11, 1, 1, 1).gang()));
            assertFalse(isAllowed(10, step(12, 1, 1, 1).gang()));
        }

        @Test
        void eachOfManySingleTasksCounts() {
            assertTrue(isAllowed(10, step(5_000, 1, 1, 8)));
            assertFalse(isAllowed(7, step(1, 1, 1, 8)));
        }

        @Test
        void nothingIsRefusedIfThereIsNoCap() {
            assertTrue(isAllowed(0, step(5_000, Long.MAX_VALUE, 1, 8).gang()));
        }
    }

    @Nested
    class AJob {

        @Test
        void thatFitsAWorkerIsFeasible() {
            assertEquals(
                    Optional.empty(), obstacle(List.of(WORKER), step(500, 128_000, 512_000, 8)));
        }

        @Test
        void withATaskLargerThanEveryWorkerIsInfeasible() {
            Optional<String> obstacle =
                    obstacle(List.of(WORKER), step(1, 1, 1, 1), step(1, 1, 1, 9));
            assertTrue(obstacle.orElseThrow().contains("step 1"), obstacle.toString());
        }

        @Test
        void withALabelThatNoWorkerHasIsInfeasible() {
            assertTrue(obstacle(List.of(WORKER), step(1, 1, 1, 1).label("b")).isPresent());
            assertTrue(obstacle(List.of(WORKER), step(1, 1, 1, 1).label("a")).isEmpty());
        }

        @Test
        void isFeasibleWhileNoWorkerIsKnown() {
            assertEquals(Optional.empty(), obstacle(List.of(), step(1, 1, 1, 9)));
        }
    }
}
