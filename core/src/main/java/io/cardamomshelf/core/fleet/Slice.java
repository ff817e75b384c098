package io.cardamomshelf.core.fleet;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.WorkerId;

/**
 * A set of accelerators of one worker. A placement has one slice for each member of a gang.
 *
 * <p>Use: {@code new Slice(worker, 0b1111)} is the accelerators 0 to 3.
 *
 * <p>Immutable and thread-safe.
 *
 * @param worker the worker, not null
 * @param mask bit n is set if the slice contains accelerator n, not 0
 */
public record Slice(WorkerId worker, long mask) {

    /**
     * Creates a slice.
     *
     * @throws IllegalArgumentException if the worker is missing or the mask is empty
     */
    public Slice {
        Checks.notNull("worker", worker);
        if (mask == 0) {
            throw new IllegalArgumentException("mask: 0 selects no accelerator");
        }
    }

    /**
     * Creates a slice of a worker's lowest-numbered accelerators.
     *
     * @param worker the worker, not null
     * @param count how many, 1 to 64
     * @return the slice, never null
     */
    public static Slice first(WorkerId worker, int count) {
        return new Slice(worker, WorkerCells.lowBits(count));
    }

    /**
     * Returns the number of accelerators in the slice.
     *
     * @return the number, 1 to 64
     */
    public int accelerators() {
        return Long.bitCount(mask);
    }

    /**
     * Returns whether two slices share an accelerator.
     *
     * @param other the other slice, not null
     * @return true if they do
     */
    public boolean isOverlapping(Slice other) {
        return worker.equals(other.worker) && (mask & other.mask) != 0;
    }

    /**
     * Returns the lowest-numbered accelerators of the slice.
     *
     * @param count how many, from 1
     * @return a slice of at most {@code count} accelerators, never null
     */
    public Slice limitedTo(int count) {
        long kept = mask;
        while (Long.bitCount(kept) > count) {
            kept &= ~Long.highestOneBit(kept);
        }
        return new Slice(worker, kept);
    }
}
