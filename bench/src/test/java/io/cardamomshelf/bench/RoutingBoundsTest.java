package io.cardamomshelf.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the stated targets for routing on a virtual clock: two of 30 upstreams that fail every
 * request immediately attract no load.
 */
class RoutingBoundsTest {

    private static final int FAILING = 2;
    private static final double MAX_ATTEMPTS_PER_REQUEST = 1.1;
    private static final double MAX_P99_RATIO = 1.2;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void failingUpstreamsCauseFewRetriesAndDoNotSlowOtherRequests(long seed) {
        Routing.Result healthy = Routing.run(Routing.Choice.PRODUCT, 0, seed);
        Routing.Result faulty = Routing.run(Routing.Choice.PRODUCT, FAILING, seed);
        assertTrue(
                faulty.attemptsPerRequest() <= MAX_ATTEMPTS_PER_REQUEST,
                "attempts " + faulty.attemptsPerRequest());
        double ratio = faulty.untouchedP99Micros() / (double) healthy.untouchedP99Micros();
        assertTrue(ratio <= MAX_P99_RATIO, "p99 ratio " + ratio);
        assertEquals(0, faulty.failedShare(), "share of requests that never ran");
    }
}
