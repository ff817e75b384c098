package io.cardamomshelf.node.settings;

import io.cardamomshelf.core.base.Checks;

/**
 * The limits of what clients may make an instance hold.
 *
 * <p>Use: {@code CallerLimits.derived(memoryMb, descriptors)}; the platform's adapter replaces
 * those that its settings name.
 *
 * <p>Immutable and thread-safe.
 *
 * @param connections the maximum number of callers' connections
 * @param connectionsPerAddress the maximum number of callers' connections from one peer address
 * @param internalConnections the maximum number of connections to each of the readiness and the
 *     metrics port
 * @param bodyBytes the maximum total size of the bodies in memory, in bytes
 * @param queuedBytes the maximum total size of unread responses and of requests that wait for the
 *     one before them, in bytes
 * @param pipelinedRequests the maximum number of unanswered requests of one connection
 * @param headMillis the maximum time from the first byte of a request's head to its end, in
 *     milliseconds
 * @param bytesPerSecond the minimum rate at which a body is sent or a response is read, in bytes
 *     per second
 * @param documentTokens the maximum number of names, values, and starts and ends of objects and
 *     lists in a document
 * @param documentDepth the maximum nesting depth of a document
 */
public record CallerLimits(
        int connections,
        int connectionsPerAddress,
        int internalConnections,
        long bodyBytes,
        long queuedBytes,
        int pipelinedRequests,
        int headMillis,
        int bytesPerSecond,
        int documentTokens,
        int documentDepth) {

    /** The memory of the smallest machine of the platform, in megabytes. */
    public static final int SMALLEST_MEMORY_MB = 330;

    /** The number of descriptors of the smallest machine of the platform. */
    public static final int FEWEST_DESCRIPTORS = 4_100;

    /** Descriptors that are kept for files. */
    private static final int FILE_DESCRIPTORS = 200;

    /**
     * The memory that a connection may need, as a fraction of a megabyte: its state and what the
     * system buffers in both directions, 64 KB each.
     */
    private static final int CONNECTIONS_PER_MB = 4;

    /**
     * Bodies take up to twice their size while they grow, so that bodies and queues need at most a
     * tenth of the machine's memory.
     */
    private static final int BUFFER_FRACTION = 32;

    private static final long BYTES_PER_MB = 1L << 20;

    /** Room for several of the longest bodies, 262,144 bytes, on any machine. */
    private static final long MIN_BUFFER_BYTES = 2 * BYTES_PER_MB;

    /** The platform checks readiness with one connection a second and reads metrics more rarely. */
    private static final int MAX_INTERNAL_CONNECTIONS = 128;

    /** HTTP clients rarely pipeline; those that do send some tens of requests ahead. */
    private static final int PIPELINED_REQUESTS = 100;

    /** A head fits into one packet; a few lost packets cost about 3 s. */
    private static final int HEAD_MILLIS = 5_000;

    /** A body of 10 KB takes 2.5 s at this rate, within the time-outs of calls. */
    private static final int BYTES_PER_SECOND = 4_096;

    /** The largest valid job, 100 steps that each follow all earlier ones, has about 9,000. */
    private static final int DOCUMENT_TOKENS = 20_000;

    /** A valid job is nested 4 levels deep. */
    private static final int DOCUMENT_DEPTH = 32;

    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if a limit isn't positive
     */
    public CallerLimits {
        Checks.range("connections", connections, 1, Integer.MAX_VALUE);
        Checks.range("connectionsPerAddress", connectionsPerAddress, 1, Integer.MAX_VALUE);
        Checks.range("internalConnections", internalConnections, 1, Integer.MAX_VALUE);
        Checks.range("bodyBytes", bodyBytes, 1, Long.MAX_VALUE);
        Checks.range("queuedBytes", queuedBytes, 1, Long.MAX_VALUE);
        Checks.range("pipelinedRequests", pipelinedRequests, 1, Integer.MAX_VALUE);
        Checks.range("headMillis", headMillis, 1, Integer.MAX_VALUE);
        Checks.range("bytesPerSecond", bytesPerSecond, 1, Integer.MAX_VALUE);
        Checks.range("documentTokens", documentTokens, 1, Integer.MAX_VALUE);
        Checks.range("documentDepth", documentDepth, 1, Integer.MAX_VALUE);
    }

    /**
     * Returns the limits on the smallest machine of the platform.
     *
     * @return the limits, never null
     */
    public static CallerLimits ofSmallestMachine() {
        return derived(SMALLEST_MEMORY_MB, FEWEST_DESCRIPTORS);
    }

    /**
     * Derives the limits from the machine's resources.
     *
     * @param memoryMb the machine's memory, in megabytes, more than 0
     * @param descriptors the number of descriptors that the process may open, more than 0
     * @return the limits, never null
     */
    public static CallerLimits derived(int memoryMb, int descriptors) {
        int connections =
                (int)
                        Math.max(
                                1,
                                Math.min(
                                        (descriptors - FILE_DESCRIPTORS) / 2,
                                        (long) memoryMb * CONNECTIONS_PER_MB));
        long bufferBytes = Math.max(MIN_BUFFER_BYTES, memoryMb * BYTES_PER_MB / BUFFER_FRACTION);
        return new CallerLimits(
                connections,
                perAddress(connections),
                Math.max(1, Math.min(MAX_INTERNAL_CONNECTIONS, connections / 4)),
                bufferBytes,
                bufferBytes,
                PIPELINED_REQUESTS,
                HEAD_MILLIS,
                BYTES_PER_SECOND,
                DOCUMENT_TOKENS,
                DOCUMENT_DEPTH);
    }

    /**
     * A load balancer opens all clients' connections from few addresses, some hundreds at a time,
     * so one address may have most of the connections.
     */
    private static int perAddress(int connections) {
        return Math.max(1, connections - connections / 4);
    }
}
