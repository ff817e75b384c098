package io.cardamomshelf.core.fleet;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.WorkerId;

/**
 * A worker's fixed properties: where it is and what it has.
 *
 * <p>Use: {@code new Worker(id, dataCentre, "r1", 8, 130, 500_000)}, as its report says.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the worker, not null
 * @param dataCentre where it is, not null
 * @param rack its rack inside the data centre, a name, not null
 * @param accelerators its accelerators, 1 to 64, numbered from 0 in order of adjacency
 * @param cores its processor cores, 1 to 10,000
 * @param memoryMb its memory in megabytes, 1 to 100,000,000
 */
public record Worker(
        WorkerId id,
        DataCentreId dataCentre,
        String rack,
        int accelerators,
        int cores,
        int memoryMb) {

    /** The most accelerators of a worker. */
    public static final int MAX_ACCELERATORS = 64;

    private static final int MAX_CORES = 10_000;
    private static final int MAX_MEMORY_MB = 100_000_000;

    /**
     * Creates a worker.
     *
     * @throws IllegalArgumentException if a value is missing or out of range
     */
    public Worker {
        Checks.notNull("id", id);
        Checks.notNull("dataCentre", dataCentre);
        Checks.name("rack", rack);
        Checks.range("accelerators", accelerators, 1, MAX_ACCELERATORS);
        Checks.range("cores", cores, 1, MAX_CORES);
        Checks.range("memoryMb", memoryMb, 1, MAX_MEMORY_MB);
    }
}
