package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.Resources;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the share that each class of jobs gets while more work arrives than there is capacity for.
 */
class HeavyLoadTest {

    /**
     * The least share of its value that each class must get; users accept no less on a day with
     * faults.
     */
    private static final double MIN_SHARE = 0.39;

    private static final long ARRIVAL_MILLIS = 34_000;
    private static final Resources WORKER_CAPACITY = Resources.of(64_000, 262_144, 8);
    private static final List<Integer> ACCELERATOR_CHOICES = List.of(1, 2, 4, 8, 8);

    private static QueuePolicy queue(
            String name, int priority, double slackFactor, long targetMillis) {
        return new QueuePolicy(
                name, LoadSimulation.SERVICE, priority, 3, slackFactor, targetMillis, false);
    }

    private static JobClass matching(
            double arrivalsPerSecond,
            int initialJobs,
            double meanWidth,
            int maxWidth,
            long memoryMb) {
        return new JobClass(
                queue("matching", 1, 3, 1_500),
                arrivalsPerSecond,
                initialJobs,
                meanWidth,
                maxWidth,
                26_000,
                memoryMb,
                ACCELERATOR_CHOICES,
                6_800,
                true,
                0.6,
                0.45,
                0.2,
                0.1);
    }

    private static JobClass check(
            double arrivalsPerSecond, double meanWidth, int maxWidth, long memoryMb) {
        return new JobClass(
                queue("check", 0, 1.5, 600),
                arrivalsPerSecond,
                0,
                meanWidth,
                maxWidth,
                7_500,
                memoryMb,
                ACCELERATOR_CHOICES,
                2_500,
                true,
                0.8,
                0,
                0.9,
                0.2);
    }

    private static JobClass stocktaking(
            double arrivalsPerSecond,
            int initialJobs,
            double meanWidth,
            int maxWidth,
            long workMillis) {
        return new JobClass(
                queue("stocktaking", 2, 3, 3_000),
                arrivalsPerSecond,
                initialJobs,
                meanWidth,
                maxWidth,
                5_600,
                29_000,
                List.of(1),
                workMillis,
                false,
                0,
                0.45,
                0.9,
                0.1);
    }

    private static void assertMinShares(Map<String, LoadSimulation.Tally> tallies) {
        tallies.forEach(
                (name, tally) ->
                        assertTrue(tally.share() >= MIN_SHARE, () -> name + ": " + tally.share()));
    }

    @Nested
    class GangsBesideSmallTasks {

        /**
         * Guards against reserving too much capacity for the widest gangs: it stayed idle and made
         * all other jobs late.
         */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
        void giveEveryClassItsMinimumShareOnThirtyThreeWorkers(long seed) {
            List<JobClass> classes =
                    List.of(
                            matching(0.62, 4, 4, 24, 140_000),
                            check(1.1, 3, 18, 22_000),
                            stocktaking(0.61, 9, 15, 72, 6_100));
            assertMinShares(
                    new LoadSimulation(seed, classes)
                            .withWorkers(33, 8, WORKER_CAPACITY)
                            .withBurst(new LoadSimulation.Burst("check", 2.2, 5_000, 11_000))
                            .run(ARRIVAL_MILLIS));
        }
    }

    @Nested
    class GangsBesideAnUrgentBurst {

        /** Guards against gangs and single tasks that starve during a burst of urgent work. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 24, 210})
        void giveEveryClassItsMinimumShare(long seed) {
            List<JobClass> classes =
                    List.of(
                            matching(0.62, 4, 4, 24, 140_000),
                            check(1.1, 3, 18, 22_000),
                            stocktaking(0.61, 9, 15, 72, 6_100));
            assertMinShares(
                    new LoadSimulation(seed, classes)
                            .withWorkers(33, 6, WORKER_CAPACITY)
                            .withMaxGangHosts(5)
                            .withBurst(new LoadSimulation.Burst("check", 4, 2_000, 14_000))
                            .run(ARRIVAL_MILLIS));
        }
    }
}
