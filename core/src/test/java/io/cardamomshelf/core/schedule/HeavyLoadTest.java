package io.cardamomshelf.core.schedule;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.Resources;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What callers of each class get while more work arrives than finds room at once. */
class HeavyLoadTest {

    /** The least that the users accept of a class on a day of trouble. */
    private static final double FLOOR = 0.39;

    private static final long DAY_MILLIS = 34_000;
    private static final Resources WORKER = Resources.of(64_000, 262_144, 8);
    private static final List<Integer> SHARES = List.of(1, 2, 4, 8, 8);

    private static QueuePolicy queue(String name, int priority, double slack, long target) {
        return new QueuePolicy(name, LoadSimulation.SERVICE, priority, 3, slack, target, false);
    }

    private static JobClass matching(
            double rate, int atStart, double width, int most, long memory) {
        return new JobClass(
                queue("matching", 1, 3, 1_500),
                rate,
                atStart,
                width,
                most,
                26_000,
                memory,
                SHARES,
                6_800,
                true,
                0.6,
                0.45,
                0.2,
                0.1);
    }

    private static JobClass check(double rate, double width, int most, long memory) {
        return new JobClass(
                queue("check", 0, 1.5, 600),
                rate,
                0,
                width,
                most,
                7_500,
                memory,
                SHARES,
                2_500,
                true,
                0.8,
                0,
                0.9,
                0.2);
    }

    private static JobClass stocktaking(
            double rate, int atStart, double width, int most, long work) {
        return new JobClass(
                queue("stocktaking", 2, 3, 3_000),
                rate,
                atStart,
                width,
                most,
                5_600,
                29_000,
                List.of(1),
                work,
                false,
                0,
                0.45,
                0.9,
                0.1);
    }

    private static void assertFloors(Map<String, LoadSimulation.Tally> tallies) {
        tallies.forEach(
                (name, tally) ->
                        assertTrue(tally.share() >= FLOOR, () -> name + ": " + tally.share()));
    }

    @Nested
    class GangsBesideSmallTasks {

        /** Room kept idle for the widest gangs made all others late. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
        void noClassFallsUnderItsFloorOnThirtyWorkers(long seed) {
            List<JobClass> classes =
                    List.of(
                            matching(0.62, 4, 4, 24, 140_000),
                            check(1.1, 3, 18, 22_000),
                            stocktaking(0.61, 9, 15, 72, 6_100));
            assertFloors(
                    new LoadSimulation(seed, classes)
                            .with(33, 8, WORKER)
                            .with(new LoadSimulation.Burst("check", 2.2, 5_000, 11_000))
                            .play(DAY_MILLIS));
        }
    }
}
