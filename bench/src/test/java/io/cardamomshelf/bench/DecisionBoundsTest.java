package io.cardamomshelf.bench;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the stated targets for scheduling, on a virtual clock and by counts, for fixed seeds. */
class DecisionBoundsTest {

    private static final double MAX_WAIT_RATIO = 0.5;
    private static final double MAX_UTILISATION_LOSS = 0.02;
    private static final double MIN_SHARE_OF_IDEAL_WORK = 0.95;
    private static final double MAX_COST_RATIO = 3;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9})
    void largeJobsWaitAtMostHalfAsLongAsWithFirstFitAtSimilarUtilisation(long seed) {
        Simulation.Result product =
                Decisions.simulateNormalLoad(Decisions.productScheduler(), seed);
        Simulation.Result firstFit =
                Decisions.simulateNormalLoad(Decisions.firstFitScheduler(), seed);
        double ratio = product.largeWait().p95() / firstFit.largeWait().p95();
        assertTrue(ratio <= MAX_WAIT_RATIO, "wait ratio " + ratio);
        double loss = firstFit.utilisation() - product.utilisation();
        assertTrue(loss <= MAX_UTILISATION_LOSS, "utilisation lost " + loss);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void otherDataCentresRunAtLeast95PercentOfTheIdealWorkDuringAnOutage(long seed) {
        double share =
                Decisions.simulateOutage(Decisions.productScheduler(), seed).workThroughOutage();
        assertTrue(share >= MIN_SHARE_OF_IDEAL_WORK, "share of the ideal " + share);
    }

    @Nested
    class PlacementCost {

        @Test
        void growsAtMostThreefoldFrom1000To25000Workers() {
            double small = Decisions.visitedPerPlacement(1_000, 1);
            double large = Decisions.visitedPerPlacement(25_000, 1);
            assertTrue(large <= MAX_COST_RATIO * small, large + " against " + small);
        }
    }
}
