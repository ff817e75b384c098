package io.cardamomshelf.core.fleet;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.WorkerId;

/**
 * The fixed properties of a worker: its location and its hardware.
 *
 * <p>Use: {@code new Worker(id, dataCentre, "r1", 8, 130, 500_000)}, with the values of the
 * worker's report.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the worker's identifier, not null
 * @param dataCentre the data centre that the worker is in, not null
 * @param rack the name of its rack, unique within the data centre, not null
 * @param accelerators the number of its accelerators, 1 to 64; they are numbered from 0 so that
 *     neighbours have consecutive numbers
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

    /** The largest number of accelerators of a worker; a slice has one bit of a long for each. */
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
