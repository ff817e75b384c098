package io.cardamomshelf.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Two of 30 upstreams that fail all attract no load; the stated targets, on a virtual clock. */
class RoutingBoundsTest {

    private static final int FAILING = 2;
    private static final double MOST_ATTEMPTS = 1.1;
    private static final double MOST_P99_RATIO = 1.2;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void failingUpstreamsCostFewAttemptsAndDelayNoOther(long seed) {
        Routing.Result healthy = Routing.run(Routing.Choice.PRODUCT, 0, seed);
        Routing.Result faulty = Routing.run(Routing.Choice.PRODUCT, FAILING, seed);
        assertTrue(faulty.attempts() <= MOST_ATTEMPTS, "attempts " + faulty.attempts());
        double ratio = faulty.untouchedP99() / (double) healthy.untouchedP99();
        assertTrue(ratio <= MOST_P99_RATIO, "p99 ratio " + ratio);
        assertEquals(0, faulty.failed(), "requests that didn't run");
    }
}
