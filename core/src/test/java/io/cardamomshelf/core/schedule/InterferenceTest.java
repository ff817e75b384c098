package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.ColocationSimulation.Load;
import io.cardamomshelf.core.schedule.ColocationSimulation.Outcome;
import io.cardamomshelf.core.schedule.ColocationSimulation.Slowdown;
import io.cardamomshelf.core.task.Resources;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests what is learnt of tasks that share workers, and the callers' times with it beside those of
 * the placement that learns nothing. The work of the tasks of a step differs by up to 30%.
 */
class InterferenceTest {

    private static final int WORKERS = 60;
    private static final long LOAD_MILLIS = 120_000;
    private static final Resources DEMAND = Resources.of(6_000, 24_000, 1);
    private static final Load INDEX = new Load("index", 2.5, 6, DEMAND, 6_000, false, "");
    private static final Load SCAN = new Load("scan", 2.5, 6, DEMAND, 8_000, false, "");
    private static final Load GANG =
            new Load("gang", 1.8, 2, Resources.of(12_000, 48_000, 2), 12_000, true, "");

    private static final Load SHORT_SCAN = new Load("scan", 2, 3, DEMAND, 4_000, false, "");

    /** Tasks that run only on every third worker. */
    private static final Load PINNED = new Load("pinned", 0.5, 4, DEMAND, 10_000, false, "x2");

    private static ColocationSimulation simulation(long seed, List<Load> loads, Slowdown slowdown) {
        return new ColocationSimulation(seed, loads, slowdown, name -> name)
                .withWorkers(WORKERS, i -> "x" + i % 3);
    }

    /** The same load, with images that are all different, so that no pair is seen twice. */
    private static Outcome runWithoutLearning(long seed, List<Load> loads, Slowdown slowdown) {
        AtomicInteger images = new AtomicInteger();
        return new ColocationSimulation(
                        seed, loads, slowdown, name -> name + images.incrementAndGet())
                .withWorkers(WORKERS, i -> "x" + i % 3)
                .run(LOAD_MILLIS);
    }

    /** Slows down one load beside another one, by a factor. */
    private static Slowdown slowdown(Load slowed, Load slowing, double factor) {
        return (load, worker, others, elapsedMillis) ->
                load.equals(slowed.name()) && others.getOrDefault(slowing.name(), 0) > 0
                        ? factor
                        : 1;
    }

    private static int number(WorkerId worker) {
        return Integer.parseInt(worker.value().substring(1));
    }

    @Nested
    class TasksThatSlowEachOtherDown {

        private void assertKeptApart(long seed, Load slowed, Load slowing, double factor) {
            List<Load> loads = List.of(slowed, slowing);
            Slowdown slowdown = slowdown(slowed, slowing, factor);
            Outcome before = runWithoutLearning(seed, loads, slowdown);
            ColocationSimulation simulation = simulation(seed, loads, slowdown);
            Outcome after = simulation.run(LOAD_MILLIS);
            List<InterferingPair> pairs = simulation.state.observations().takeNewInterferingPairs();
            assertTrue(simulation.state.observations().startsAvoidingInterference() > 0);
            for (InterferingPair pair : pairs) {
                assertEquals(slowed.name(), pair.slowed());
                assertEquals(slowing.name(), pair.slowing());
                assertEquals(factor, 1 + pair.slowdownPercent() / 100.0, 0.2);
            }
            assertTrue(
                    after.meanJobMillis(slowed.name()) < 0.92 * before.meanJobMillis(slowed.name()),
                    () ->
                            before.meanJobMillis(slowed.name())
                                    + " -> "
                                    + after.meanJobMillis(slowed.name()));
            assertTrue(
                    after.meanJobMillis(slowing.name())
                            < 1.01 * before.meanJobMillis(slowing.name()));
        }

        /** Guards against interference that isn't found, or that placement ignores. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void runOnDifferentWorkers(long seed) {
            assertKeptApart(seed, INDEX, SCAN, 1.6);
        }

        /** Guards against gangs whose slowdown isn't seen, as a member is slowed elsewhere. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void runOnDifferentWorkersIfOneIsAGang(long seed) {
            assertKeptApart(seed, GANG, SHORT_SCAN, 1.8);
        }

        /** Guards against starts that are delayed to avoid interference. */
        @Test
        void shareWorkersIfThereIsNoOtherRoom() {
            ColocationSimulation simulation =
                    simulation(1, List.of(INDEX, SCAN), slowdown(INDEX, SCAN, 1.6));
            simulation.run(LOAD_MILLIS);
            assertEquals(1, simulation.state.observations().interferingPairs());
            simulation.submit(new Load("index", 0, 8 * WORKERS, DEMAND, 6_000, false, ""));
            simulation.advanceClock();
            assertEquals(0, simulation.state.load(simulation.now()).free());
        }

        /** Guards against a verdict that outlasts what it was learnt from. */
        @Test
        void areForgottenWithinAMinute() {
            ColocationSimulation simulation =
                    simulation(1, List.of(INDEX, SCAN), slowdown(INDEX, SCAN, 1.6));
            simulation.run(LOAD_MILLIS);
            assertEquals(1, simulation.state.observations().interferingPairs());
            simulation.drain(InterferenceEvidence.RETENTION_MILLIS + 30_000);
            assertEquals(0, simulation.state.observations().interferingPairs());
        }
    }

    @Nested
    class TasksThatDont {

        private void assertUnchanged(long seed, Slowdown slowdown) {
            List<Load> loads = List.of(INDEX, SCAN, GANG, PINNED);
            Outcome before = runWithoutLearning(seed, loads, slowdown);
            Outcome after = simulation(seed, loads, slowdown).run(LOAD_MILLIS);
            assertEquals(0, after.maxPairs);
            assertEquals(before.starts, after.starts);
            assertEquals(before.jobMillis, after.jobMillis);
        }

        /** Guards against differences in the work of tasks that are taken for interference. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void arePlacedAsBefore(long seed) {
            assertUnchanged(seed, (load, worker, others, elapsedMillis) -> 1);
        }

        /** Guards against pinned tasks that seem to slow down others, as their workers are slow. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void arePlacedAsBeforeOnWorkersOfDifferentSpeeds(long seed) {
            double[] factors = {0.8, 1, 1.25};
            assertUnchanged(
                    seed, (load, worker, others, elapsedMillis) -> factors[number(worker) % 3]);
        }

        /** Guards against a worker's temporary slowness that is taken for interference. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void arePlacedAsBeforeBesideStragglers(long seed) {
            assertUnchanged(
                    seed,
                    (load, worker, others, elapsedMillis) -> {
                        long second = elapsedMillis / 1_000;
                        boolean slow =
                                second % 30 >= 15
                                        && second % 30 < 23
                                        && number(worker) % 6 == second / 30 % 6;
                        return slow ? 5 + number(worker) % 5 : 1;
                    });
        }
    }
}
