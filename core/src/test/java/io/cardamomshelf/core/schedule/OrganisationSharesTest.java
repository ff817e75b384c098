package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.ORGANISATION;
import static io.cardamomshelf.core.schedule.SchedulerFixture.OTHER_ORGANISATION;
import static io.cardamomshelf.core.schedule.SchedulerFixture.running;
import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static io.cardamomshelf.core.schedule.SchedulerFixture.task;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.RunEnd;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what each organisation gets while there is more work than capacity. */
class OrganisationSharesTest {

    private static OrganisationLimits weight(double weight) {
        return new OrganisationLimits(0, weight, Resources.NONE);
    }

    private static Map<OrganisationId, OrganisationLimits> weights(double own, double other) {
        return Map.of(ORGANISATION, weight(own), OTHER_ORGANISATION, weight(other));
    }

    /** Jobs 1 to 9 are of one organisation, the others of another one. */
    private static long countOfFirst(List<Order.Start> starts) {
        return starts.stream()
                .filter(start -> start.task().job().value().compareTo("000000000000000a") < 0)
                .count();
    }

    @Nested
    class OneRound {

        private final SchedulerFixture fixture = new SchedulerFixture();

        private void addWorkers(int count) {
            fixture.state.endInheritance();
            for (int i = 0; i < count; i++) {
                fixture.addIdleWorker("w" + i, "r1-1");
            }
        }

        private SchedulerFixture.StepBuilder tasks(int count) {
            return step(count, 1_000, 1_000, 1);
        }

        @Test
        void dividesTheCapacityByWeight() {
            addWorkers(5);
            fixture.state.configure(Map.of(), weights(3, 1));
            fixture.submit(1, 1, tasks(100)).submitForOther(10, 1, tasks(100));
            List<Order.Start> starts = fixture.startAll();
            assertEquals(40, starts.size());
            assertEquals(30, countOfFirst(starts));
        }

        @Test
        void comparesTheLargestShareOfAnyResource() {
            addWorkers(2);
            fixture.state.configure(Map.of(), weights(1, 1));
            fixture.submit(1, 1, step(100, 1_000, 128_000, 1)).submitForOther(10, 1, tasks(100));
            List<Order.Start> starts = fixture.startAll();
            assertEquals(16, starts.size());
            assertEquals(6, countOfFirst(starts));
        }

        @Test
        void usesTheWholeCapacityThoughOneOrganisationHasLittleWork() {
            addWorkers(5);
            fixture.state.configure(Map.of(), weights(1, 1));
            fixture.submit(1, 1, tasks(3)).submitForOther(10, 1, tasks(100));
            List<Order.Start> starts = fixture.startAll();
            assertEquals(40, starts.size());
            assertEquals(3, countOfFirst(starts));
        }

        @Test
        void keepsTheOrderOfPrioritiesAndGuarantees() {
            addWorkers(1);
            fixture.state.configure(
                    Map.of(),
                    Map.of(
                            ORGANISATION,
                            weight(9),
                            OTHER_ORGANISATION,
                            new OrganisationLimits(8, 1, Resources.NONE)));
            fixture.submit(1, 0, tasks(100)).submitForOther(10, 0, tasks(8));
            assertEquals(0, countOfFirst(fixture.startAll()));
        }

        /** Guards against a wide gang that waits behind the work of all other organisations. */
        @Test
        void aStarvedGangComesFirst() {
            addWorkers(1);
            fixture.state.configure(Map.of(), weights(1, 100));
            fixture.submit(1, 1, tasks(8).gang()).advanceClock(100_000);
            fixture.submitForOther(10, 1, tasks(100));
            assertEquals(8, countOfFirst(fixture.startAll()));
        }

        @Test
        void withoutWeightsKeepsTheOrderOfAcceptance() {
            addWorkers(1);
            fixture.state.configure(Map.of(), weights(0, 0));
            fixture.submit(1, 1, tasks(100)).advanceClock(1);
            fixture.submitForOther(10, 1, tasks(100));
            assertEquals(8, countOfFirst(fixture.startAll()));
        }

        @Test
        void aBurstIsPaidBackForSomeSecondsOnly() {
            addWorkers(1);
            fixture.state.configure(Map.of(), weights(1, 1));
            fixture.submit(1, 1, tasks(8));
            List<Order.Start> burst = fixture.startAll();
            fixture.decide();
            fixture.advanceClock(3_000);
            burst.forEach(start -> fixture.reportEnd(start, RunEnd.DONE));
            fixture.submit(2, 1, tasks(8)).submitForOther(10, 1, tasks(8));
            List<Order.Start> next = fixture.startAll();
            assertEquals(2, countOfFirst(next));
            next.forEach(start -> fixture.reportEnd(start, RunEnd.DONE));
            fixture.startAll().forEach(start -> fixture.reportEnd(start, RunEnd.DONE));
            for (int i = 0; i < 60; i++) {
                fixture.advanceClock(1_000).decide();
            }
            fixture.submit(3, 1, tasks(8)).submitForOther(11, 1, tasks(8));
            assertEquals(4, countOfFirst(fixture.startAll()));
        }
    }

    @Nested
    class ANewScheduler {

        private final SchedulerFixture fixture = new SchedulerFixture();

        @Test
        void knowsTheUsageThatWorkersReport() {
            fixture.state.configure(Map.of(), weights(1, 1));
            fixture.submit(1, 1, step(8, 1_000, 1_000, 1));
            fixture.registerWorker("w1", "r1-1").registerWorker("w2", "r1-1");
            fixture.state.endInheritance();
            fixture.report(
                    "w1",
                    running(task(1, 0), 77),
                    running(task(1, 1), 77),
                    running(task(1, 2), 77),
                    running(task(1, 3), 77));
            fixture.report("w2").submitForOther(10, 1, step(20, 1_000, 1_000, 1));
            List<Order.Start> starts = fixture.startAll();
            assertEquals(12, starts.size());
            assertEquals(4, countOfFirst(starts));
        }
    }

    /**
     * Two organisations of equal weight on 33 workers: one submits a few jobs now and then, the
     * other has a large queue of the same kind from the start.
     */
    @Nested
    class OrganisationWithALargeQueue {

        private static final long ARRIVAL_MILLIS = 34_000;
        private static final double FEW_PER_SECOND = 0.6;
        private static final double MANY_PER_SECOND = 2.0;

        /** An organisation that uses less than its part of the capacity shouldn't be delayed. */
        private static final double MIN_SHARE_OF_FEW = 0.9;

        /** The other one may lose what the first one's part of the arriving work takes. */
        private static final double MIN_KEPT_OF_MANY =
                MANY_PER_SECOND / (FEW_PER_SECOND + MANY_PER_SECOND);

        private static final Resources WORKER_CAPACITY = Resources.of(64_000, 262_144, 8);

        private static JobClass jobs(String name, double arrivalsPerSecond, int initialJobs) {
            return new JobClass(
                    new QueuePolicy(name, LoadSimulation.SERVICE, 2, 3, 3, 3_000, false),
                    arrivalsPerSecond,
                    initialJobs,
                    15,
                    72,
                    5_600,
                    23_000,
                    List.of(1),
                    6_100,
                    false,
                    0,
                    0.45,
                    0.5,
                    0.1);
        }

        private static Map<String, LoadSimulation.Tally> run(
                long seed, Map<OrganisationId, OrganisationLimits> limits) {
            List<JobClass> classes =
                    List.of(jobs("few", FEW_PER_SECOND, 0), jobs("many", MANY_PER_SECOND, 100));
            return new LoadSimulation(seed, classes)
                    .withWorkers(33, 8, WORKER_CAPACITY)
                    .withOrganisations(
                            Map.of("few", ORGANISATION, "many", OTHER_ORGANISATION), limits)
                    .run(ARRIVAL_MILLIS);
        }

        /** Guards against callers that wait behind the large queue of another organisation. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6})
        void doesNotDelayTheOther(long seed) {
            Map<String, LoadSimulation.Tally> before = run(seed, Map.of());
            Map<String, LoadSimulation.Tally> after = run(seed, weights(1, 1));
            double few = after.get("few").share();
            double many = after.get("many").share();
            assertTrue(few >= MIN_SHARE_OF_FEW, () -> "few: " + few);
            assertTrue(few > before.get("few").share(), () -> "few before: " + before);
            assertTrue(
                    many >= MIN_KEPT_OF_MANY * before.get("many").share(), () -> "many: " + many);
        }
    }
}
