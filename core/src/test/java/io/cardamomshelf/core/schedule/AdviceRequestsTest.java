package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.StepId;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests steps of advised queues, which start only with a ticket of the external placement advice.
 */
class AdviceRequestsTest {

    private static final StepId STEP = StepId.of(SchedulerFixture.job(1), 0, 0);

    private final SchedulerFixture fixture = new SchedulerFixture();

    @BeforeEach
    void setUp() {
        fixture.state.endInheritance();
        fixture.addIdleWorker("w1", "r1-1").addIdleWorker("w2", "r1-1");
        fixture.submitAdvised(1, step(1, 1_000, 1_000, 1));
    }

    private void putTicket(String worker, String ticket, long validMillis) {
        fixture.state
                .adviceRequests()
                .putTickets(
                        STEP,
                        Set.of(SchedulerFixture.worker(worker)),
                        Map.of(SchedulerFixture.worker(worker), ticket),
                        fixture.now().monotonicMillis() + validMillis);
    }

    private List<WorkerId> candidateWorkers(int limit) {
        return fixture.state
                .adviceRequests()
                .candidateWorkers(STEP, limit, fixture.now().monotonicMillis());
    }

    @Nested
    class Tickets {

        @Test
        void areAwaitedAndIncludedInTheStart() {
            assertEquals(List.of(), fixture.decide());
            assertEquals(Set.of(STEP), fixture.state.adviceRequests().takeUnadvisedSteps());
            putTicket("w2", "t-2", 3_000);
            Order.Start start = fixture.decideStarts().get(0);
            assertEquals(SchedulerFixture.worker("w2"), start.worker());
            assertEquals("t-2", start.ticket());
        }

        @Test
        void areRequestedAgainOnlyWhenTheyExpire() {
            fixture.decide();
            fixture.state.adviceRequests().takeUnadvisedSteps();
            fixture.state
                    .adviceRequests()
                    .putTickets(
                            STEP,
                            candidateWorkers(30),
                            Map.of(),
                            fixture.now().monotonicMillis() + 3_000);
            fixture.advanceClock(1_000).decide();
            assertEquals(Set.of(), fixture.state.adviceRequests().takeUnadvisedSteps());
            fixture.advanceClock(2_000).decide();
            assertEquals(Set.of(STEP), fixture.state.adviceRequests().takeUnadvisedSteps());
        }

        @Test
        void areNotUsedWhenTheyAreAboutToExpire() {
            putTicket("w1", "t-1", 1_000);
            fixture.advanceClock(800);
            assertEquals(List.of(), fixture.decideStarts());
        }

        @Test
        void areDiscardedWhenTheWorkerRestarts() {
            putTicket("w1", "t-1", 60_000);
            fixture.restartWorker("w1");
            assertEquals(List.of(), fixture.decideStarts());
        }
    }

    @Nested
    class Candidates {

        /** Guards against a step that stands still beside a free worker it never asked for. */
        @Test
        void areThoseThatWereNotAskedForWhileNoOtherMayRunTheStep() {
            fixture.decide();
            fixture.state.adviceRequests().takeUnadvisedSteps();
            List<WorkerId> asked = candidateWorkers(1);
            fixture.state
                    .adviceRequests()
                    .putTickets(STEP, asked, Map.of(), fixture.now().monotonicMillis() + 60_000);
            fixture.decide();
            assertEquals(Set.of(STEP), fixture.state.adviceRequests().takeUnadvisedSteps());
            assertNotEquals(asked, candidateWorkers(1));
        }

        @Test
        void areTheWorkersWithTheMostFreeCapacity() {
            fixture.submit(2, 1, step(1, 1_000, 1_000, 4).dataRack("r1-1"));
            WorkerId loaded = fixture.startAll().get(0).worker();
            WorkerId idle = SchedulerFixture.worker(loaded.value().equals("w1") ? "w2" : "w1");
            assertEquals(List.of(idle), candidateWorkers(1));
            assertEquals(2, candidateWorkers(30).size());
        }

        @Test
        void areNoneForAJobThatHasEnded() {
            fixture.state.cancel(SchedulerFixture.job(1));
            assertEquals(List.of(), candidateWorkers(30));
        }
    }
}
