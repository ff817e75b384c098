package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.StepId;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Steps of queues whose placement is advised from outside. */
class AdviceRequestsTest {

    private static final StepId STEP = StepId.of(SchedulerFixture.job(1), 0, 0);

    private final SchedulerFixture scene = new SchedulerFixture();

    @BeforeEach
    void setUp() {
        scene.board.endInheritance();
        scene.openWorker("w1", "r1-1").openWorker("w2", "r1-1");
        scene.submitAdvised(1, step(1, 1_000, 1_000, 1));
    }

    private void advise(String worker, String ticket, long validMillis) {
        scene.board
                .adviceRequests()
                .putTickets(
                        STEP,
                        Map.of(SchedulerFixture.worker(worker), ticket),
                        scene.now().monotonicMillis() + validMillis);
    }

    @Nested
    class Tickets {

        @Test
        void areWaitedForAndCarriedByTheStart() {
            assertEquals(List.of(), scene.decide());
            assertEquals(Set.of(STEP), scene.board.adviceRequests().takeUnadvisedSteps());
            advise("w2", "t-2", 3_000);
            Order.Start start = scene.starts().get(0);
            assertEquals(SchedulerFixture.worker("w2"), start.worker());
            assertEquals("t-2", start.ticket());
        }

        @Test
        void areAskedForAgainOnlyWhenTheyRunOut() {
            scene.decide();
            scene.board.adviceRequests().takeUnadvisedSteps();
            scene.board
                    .adviceRequests()
                    .putTickets(STEP, Map.of(), scene.now().monotonicMillis() + 3_000);
            scene.pass(1_000).decide();
            assertEquals(Set.of(), scene.board.adviceRequests().takeUnadvisedSteps());
            scene.pass(2_000).decide();
            assertEquals(Set.of(STEP), scene.board.adviceRequests().takeUnadvisedSteps());
        }

        @Test
        void areNotUsedOnceTheyAreOver() {
            advise("w1", "t-1", 1_000);
            scene.pass(800);
            assertEquals(List.of(), scene.starts());
        }

        @Test
        void endWithTheLifeOfTheWorker() {
            advise("w1", "t-1", 60_000);
            scene.restartWorker("w1");
            assertEquals(List.of(), scene.starts());
        }
    }

    @Nested
    class Candidates {

        @Test
        void areTheWorkersWithTheMostRoom() {
            scene.submit(2, 1, step(1, 1_000, 1_000, 4).near("r1-1"));
            WorkerId taken = scene.startAll().get(0).worker();
            WorkerId emptier = SchedulerFixture.worker(taken.value().equals("w1") ? "w2" : "w1");
            assertEquals(List.of(emptier), scene.board.adviceRequests().candidateWorkers(STEP, 1));
            assertEquals(2, scene.board.adviceRequests().candidateWorkers(STEP, 30).size());
        }

        @Test
        void areNoneForAJobThatIsOver() {
            scene.board.cancel(SchedulerFixture.job(1));
            assertEquals(List.of(), scene.board.adviceRequests().candidateWorkers(STEP, 30));
        }
    }
}
