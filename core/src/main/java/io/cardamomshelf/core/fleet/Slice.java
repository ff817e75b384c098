package io.cardamomshelf.core.fleet;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.WorkerId;

/**
 * A part of one worker's accelerators.
 *
 * <p>Use: {@code new Slice(worker, 0b1111)} stands for accelerators 0 to 3.
 *
 * <p>Immutable and thread-safe.
 *
 * @param worker the worker, not null
 * @param mask a bit for each accelerator, not 0
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
            throw new IllegalArgumentException("mask: 0 holds no accelerator");
        }
    }

    /**
     * Makes a slice of a worker's first accelerators.
     *
     * @param worker the worker, not null
     * @param count how many, 1 to 64
     * @return the slice, never null
     */
    public static Slice first(WorkerId worker, int count) {
        return new Slice(worker, WorkerCells.lowBits(count));
    }

    /**
     * Returns the number of accelerators.
     *
     * @return the number, 1 to 64
     */
    public int accelerators() {
        return Long.bitCount(mask);
    }

    /**
     * Asks whether two slices share an accelerator.
     *
     * @param other the other slice, not null
     * @return true if they do
     */
    public boolean isOverlapping(Slice other) {
        return worker.equals(other.worker) && (mask & other.mask) != 0;
    }

    /**
     * Returns the lowest accelerators of the slice.
     *
     * @param count how many, from 1
     * @return a slice of at most so many, never null
     */
    public Slice limitedTo(int count) {
        long kept = mask;
        while (Long.bitCount(kept) > count) {
            kept &= ~Long.highestOneBit(kept);
        }
        return new Slice(worker, kept);
    }
}
