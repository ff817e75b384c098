package io.cardamomshelf.core.task;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the durations of chains of dependent steps. */
class JobRequestTest {

    private static StepSpec step(long estimateMillis, Integer... after) {
        return new StepSpec(
                1,
                Resources.of(1_000, 1_000, 1),
                estimateMillis,
                List.of(after),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                false,
                0);
    }

    private static JobRequest request(StepSpec... steps) {
        return new JobRequest("x", List.of(steps), 0, 0, 0);
    }

    @Nested
    class LongestChain {

        /** Two branches after the first step, and a step that depends on nothing. */
        private final JobRequest branched =
                request(step(100), step(30, 0), step(50, 0), step(7, 1, 2), step(60));

        @Test
        void ofTheJobTakesTheLongerBranch() {
            assertEquals(157, branched.longestChainMillis());
        }

        @Test
        void fromAStepLeavesOutEarlierAndIndependentSteps() {
            assertEquals(157, branched.longestChainMillis(0));
            assertEquals(37, branched.longestChainMillis(1));
            assertEquals(57, branched.longestChainMillis(2));
            assertEquals(7, branched.longestChainMillis(3));
            assertEquals(60, branched.longestChainMillis(4));
        }

        @Test
        void includesWhatFollowsAStepWithoutAnEstimate() {
            assertEquals(9, request(step(0), step(9, 0)).longestChainMillis(0));
        }

        @Test
        void isZeroWithoutEstimates() {
            assertEquals(0, request(step(0), step(0, 0)).longestChainMillis());
        }
    }
}
