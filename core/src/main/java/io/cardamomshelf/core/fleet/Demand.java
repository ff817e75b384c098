package io.cardamomshelf.core.fleet;

import io.cardamomshelf.core.base.Checks;

/**
 * The resources that a job needs: a number of accelerators, their adjacency, and the cores and
 * memory for each accelerator.
 *
 * <p>Use: {@code new Demand(16, Adjacency.RACK, 8, 32_000)}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param accelerators the number of accelerators of the whole job, 1 to 512
 * @param adjacency how close to each other the accelerators must be, not null
 * @param coresEach processor cores for each accelerator, 0 to 1,000
 * @param memoryMbEach memory for each accelerator in megabytes, 0 to 10,000,000
 */
public record Demand(int accelerators, Adjacency adjacency, int coresEach, int memoryMbEach) {

    /** The largest gang, in accelerators. */
    public static final int MAX_ACCELERATORS = 512;

    private static final int MAX_CORES_EACH = 1_000;
    private static final int MAX_MEMORY_MB_EACH = 10_000_000;

    /**
     * Creates a demand.
     *
     * @throws IllegalArgumentException if a value is missing or out of range
     */
    public Demand {
        Checks.range("accelerators", accelerators, 1, MAX_ACCELERATORS);
        Checks.notNull("adjacency", adjacency);
        Checks.range("coresEach", coresEach, 0, MAX_CORES_EACH);
        Checks.range("memoryMbEach", memoryMbEach, 0, MAX_MEMORY_MB_EACH);
    }

    /**
     * Returns the level of the smallest block that is large enough for the job. A block of level n
     * has 2<sup>n</sup> accelerators.
     *
     * @return the level, 0 to 9
     */
    public int level() {
        return Integer.SIZE - Integer.numberOfLeadingZeros(accelerators - 1);
    }
}
