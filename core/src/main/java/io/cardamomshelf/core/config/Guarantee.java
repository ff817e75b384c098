package io.cardamomshelf.core.config;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;

/**
 * A guarantee of capacity: a number of blocks of adjacent accelerators in one data centre.
 *
 * <p>Use: {@code new Guarantee(DataCentreId.of("jhb-a"), 16, 2)} guarantees two blocks of 16.
 *
 * <p>The size of a block is a power of two, so that blocks nest. Whether all guarantees fit can
 * then be decided by counting blocks.
 *
 * <p>Immutable and thread-safe.
 *
 * @param dataCentre the data centre of the blocks, not null
 * @param accelerators the size of one block in accelerators, a power of two from 1 to 512
 * @param blocks the number of guaranteed blocks, 1 to 100,000
 */
public record Guarantee(DataCentreId dataCentre, int accelerators, int blocks) {

    /** The largest block, in accelerators. */
    public static final int MAX_ACCELERATORS = 512;

    private static final int MAX_BLOCKS = 100_000;

    /**
     * Creates a guarantee.
     *
     * @throws IllegalArgumentException if a value is missing or out of range
     */
    public Guarantee {
        Checks.notNull("dataCentre", dataCentre);
        Checks.range("accelerators", accelerators, 1, MAX_ACCELERATORS);
        if (Integer.bitCount(accelerators) != 1) {
            throw new IllegalArgumentException(
                    "accelerators: "
                            + accelerators
                            + " is not a power of two; allowed are 1, 2, 4, ... "
                            + MAX_ACCELERATORS);
        }
        Checks.range("blocks", blocks, 1, MAX_BLOCKS);
    }
}
