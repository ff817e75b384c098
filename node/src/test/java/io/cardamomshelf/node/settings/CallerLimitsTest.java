package io.cardamomshelf.node.settings;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the derived limits keep within the machine and don't disturb ordinary clients. */
class CallerLimitsTest {

    private static final long LONGEST_BODY_BYTES = 262_144;

    /** Connections that a load balancer opens from one address. */
    private static final int LOAD_BALANCER_CONNECTIONS = 900;

    private static final int FILES = 200;
    private static final long MB = 1 << 20;

    @ParameterizedTest
    @CsvSource({"330, 4100", "512, 4100", "682, 8192"})
    void derivedLimitsFitTheMachinesOfThePlatform(int memoryMb, int descriptors) {
        CallerLimits limits = CallerLimits.derived(memoryMb, descriptors);
        assertTrue(limits.connections() + 2 * limits.internalConnections() < descriptors - FILES);
        assertTrue(limits.connectionsPerAddress() >= LOAD_BALANCER_CONNECTIONS);
        assertTrue(limits.bodyBytes() / 2 >= LONGEST_BODY_BYTES);
        assertTrue(2 * limits.bodyBytes() + limits.queuedBytes() < memoryMb * MB / 10);
    }

    /** Guards against limits of 0 on machines that are smaller than any of the platform. */
    @ParameterizedTest
    @CsvSource({"1, 1", "1, 4100", "330, 200"})
    void derivedLimitsAreValidForAnyMachine(int memoryMb, int descriptors) {
        CallerLimits limits = CallerLimits.derived(memoryMb, descriptors);
        assertTrue(limits.connections() >= 1);
        assertTrue(limits.internalConnections() >= 1);
    }
}
