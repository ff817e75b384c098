package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.Resources;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays the load of the first deployment of {@code docs/design/contention.md}, scaled to 33
 * workers, with and without learnt speeds of workers and run times. Gangs are limited to the width
 * of a rack, and arrive more often for it, so that the offered load is the same.
 */
class UnequalWorkersTest {

    private static final long ARRIVAL_MILLIS = 120_000;
    private static final int WORKERS = 33;
    private static final int SEEDS = 24;
    private static final Resources WORKER_CAPACITY = Resources.of(64_000, 262_144, 8);
    private static final List<Integer> ACCELERATOR_CHOICES = List.of(1, 2, 4, 8, 8);

    /** The errors of callers' estimates, as the standard deviation of the logarithm. */
    private static final double FIRST_DEPLOYMENT_ERROR = 0.5;

    private static final double SECOND_DEPLOYMENT_ERROR = 0.9;
    private static final double[] SPEEDS = {0.8, 1.0, 1.25};

    private static QueuePolicy queue(
            String name, int priority, double slackFactor, long targetMillis) {
        return new QueuePolicy(
                name, LoadSimulation.SERVICE, priority, 3, slackFactor, targetMillis, false);
    }

    private static List<JobClass> classes(double estimateError) {
        return List.of(
                new JobClass(
                        queue("urgent", 0, 1.5, 600),
                        0.71,
                        0,
                        5,
                        24,
                        7_500,
                        31_000,
                        ACCELERATOR_CHOICES,
                        2_500,
                        true,
                        0.8,
                        0,
                        estimateError,
                        0.2),
                new JobClass(
                        queue("gangs", 1, 3, 1_500),
                        0.25,
                        2,
                        13,
                        24,
                        26_000,
                        140_000,
                        ACCELERATOR_CHOICES,
                        8_500,
                        true,
                        0.6,
                        0.45,
                        estimateError,
                        0.1),
                new JobClass(
                        queue("single", 2, 3, 3_000),
                        0.13,
                        1,
                        39,
                        120,
                        5_600,
                        23_000,
                        List.of(1),
                        9_500,
                        false,
                        0,
                        0.45,
                        estimateError,
                        0.1));
    }

    private static SimulatedWorkers.Speeds speeds(long seed) {
        Random random = new Random(~seed);
        double[] speeds =
                random.ints(WORKERS, 0, SPEEDS.length).mapToDouble(i -> SPEEDS[i]).toArray();
        return (index, elapsedMillis) -> speeds[index];
    }

    private static LoadSimulation simulation(
            long seed, double estimateError, WorkerSpeeds speeds, RunTimeModel runTimes) {
        return new LoadSimulation(
                        seed, classes(estimateError), new FleetObservations(speeds, runTimes))
                .withWorkers(WORKERS, 8, WORKER_CAPACITY)
                .withMaxGangHosts(8)
                .withTaskSpread(0.15);
    }

    private static LoadSimulation withoutSpeeds(long seed) {
        return simulation(
                seed,
                FIRST_DEPLOYMENT_ERROR,
                new WorkerSpeeds(Integer.MAX_VALUE),
                new RunTimeModel(0));
    }

    private static LoadSimulation withSpeeds(long seed) {
        return simulation(
                seed,
                FIRST_DEPLOYMENT_ERROR,
                new WorkerSpeeds(WorkerSpeeds.MIN_WORKERS),
                new RunTimeModel(0));
    }

    private static LoadSimulation withInaccurateEstimates(long seed, int maxShapes) {
        return simulation(
                        seed,
                        SECOND_DEPLOYMENT_ERROR,
                        new WorkerSpeeds(WorkerSpeeds.MIN_WORKERS),
                        new RunTimeModel(maxShapes))
                .withSpeeds(speeds(seed));
    }

    @Nested
    class EqualWorkers {

        /** Guards against placement by differences that are only those of the tasks' work. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4})
        void getTheSameOrders(long seed) {
            LoadSimulation before = withoutSpeeds(seed);
            before.run(ARRIVAL_MILLIS);
            LoadSimulation after = withSpeeds(seed);
            after.run(ARRIVAL_MILLIS);
            assertEquals(0, after.mostKnownSpeeds());
            assertEquals(before.ordersDigest(), after.ordersDigest());
        }

        /** Guards against differences that are learnt from workers that are slow for seconds. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4})
        void areNotToldApartAfterSomeWereSlow(long seed) {
            LoadSimulation simulation =
                    withSpeeds(seed)
                            .withSpeeds(
                                    (index, millis) ->
                                            index % 6 == 0 && millis % 40_000 > 32_000
                                                    ? 1.0 / (5 + index % 5)
                                                    : 1);
            simulation.run(ARRIVAL_MILLIS);
            assertEquals(0, simulation.mostKnownSpeeds());
        }
    }

    @Nested
    class UnequalWorkers {

        /**
         * Guards against urgent gangs on slow workers while fast ones run other work, and against
         * taking the fast workers at the expense of the other classes.
         */
        @Test
        void runUrgentGangsSoonerThanBeforeAndOtherWorkAsSoon() {
            Totals before = new Totals();
            Totals after = new Totals();
            for (long seed = 1; seed <= SEEDS; seed++) {
                before.add(withoutSpeeds(seed).withSpeeds(speeds(seed)).run(ARRIVAL_MILLIS));
                after.add(withSpeeds(seed).withSpeeds(speeds(seed)).run(ARRIVAL_MILLIS));
            }
            String outcome = "before " + before + ", after " + after;
            assertTrue(after.meanMillis("urgent") < 0.95 * before.meanMillis("urgent"), outcome);
            assertTrue(after.late("urgent") <= before.late("urgent"), outcome);
            for (String name : List.of("gangs", "single")) {
                assertTrue(after.share(name) > before.share(name) - 0.02, outcome);
                assertTrue(after.meanMillis(name) < 1.02 * before.meanMillis(name), outcome);
            }
        }
    }

    @Nested
    class InaccurateEstimates {

        /** Guards against gangs that are late because others are placed by wrong estimates. */
        @Test
        void areCorrectedByLearntRunTimes() {
            Totals before = new Totals();
            Totals after = new Totals();
            for (long seed = 1; seed <= SEEDS; seed++) {
                before.add(withInaccurateEstimates(seed, 0).run(ARRIVAL_MILLIS));
                after.add(
                        withInaccurateEstimates(seed, RunTimeModel.MAX_SHAPES).run(ARRIVAL_MILLIS));
            }
            String outcome = "before " + before + ", after " + after;
            assertTrue(after.late("gangs") < 0.95 * before.late("gangs"), outcome);
            assertTrue(after.late("urgent") <= before.late("urgent"), outcome);
            assertTrue(after.meanMillis("single") < 1.05 * before.meanMillis("single"), outcome);
        }
    }

    /** What callers got in several simulations, by class of jobs. */
    private static final class Totals {
        private final Map<String, Integer> jobs = new TreeMap<>();
        private final Map<String, Integer> late = new TreeMap<>();
        private final Map<String, Double> millis = new TreeMap<>();
        private final Map<String, Double> shares = new TreeMap<>();

        void add(Map<String, LoadSimulation.Tally> tallies) {
            tallies.forEach(
                    (name, tally) -> {
                        jobs.merge(name, tally.jobs(), Integer::sum);
                        late.merge(name, tally.late(), Integer::sum);
                        millis.merge(name, tally.meanMillis() * tally.jobs(), Double::sum);
                        shares.merge(name, tally.share() / SEEDS, Double::sum);
                    });
        }

        int late(String name) {
            return late.get(name);
        }

        double share(String name) {
            return shares.get(name);
        }

        double meanMillis(String name) {
            return millis.get(name) / jobs.get(name);
        }

        @Override
        public String toString() {
            return "jobs " + jobs + " late " + late + " millis " + millis + " shares " + shares;
        }
    }
}
