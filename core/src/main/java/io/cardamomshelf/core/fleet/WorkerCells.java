package io.cardamomshelf.core.fleet;

/**
 * The available accelerators of one worker, as aligned blocks that nest: a buddy system on a mask.
 *
 * <p>Not thread-safe: belongs to its {@link CellIndex}.
 */
final class WorkerCells {

    private final Worker worker;
    private final RackCells rack;
    private final int top;
    private long mask;
    private int freeCores;
    private int freeMemoryMb;

    WorkerCells(Worker worker, RackCells rack) {
        this.worker = worker;
        this.rack = rack;
        this.top = topLevel(worker);
        this.mask = lowBits(worker.accelerators());
        this.freeCores = worker.cores();
        this.freeMemoryMb = worker.memoryMb();
    }

    static int topLevel(Worker worker) {
        return Integer.SIZE - 1 - Integer.numberOfLeadingZeros(worker.accelerators());
    }

    static long lowBits(int count) {
        return count >= Long.SIZE ? -1L : (1L << count) - 1;
    }

    Worker worker() {
        return worker;
    }

    RackCells rack() {
        return rack;
    }

    int top() {
        return top;
    }

    long mask() {
        return mask;
    }

    boolean isWhole() {
        return (mask & lowBits(1 << top)) == lowBits(1 << top);
    }

    boolean isFitting(Demand demand, int accelerators) {
        return freeCores >= demand.coresEach() * (long) accelerators
                && freeMemoryMb >= demand.memoryMbEach() * (long) accelerators;
    }

    /** Takes or gives accelerators with what goes with each; {@code sign} is -1 to take. */
    void change(Slice slice, Demand demand, int sign) {
        mask = sign < 0 ? mask & ~slice.mask() : mask | slice.mask();
        int count = slice.accelerators();
        freeCores += sign * demand.coresEach() * count;
        freeMemoryMb += sign * demand.memoryMbEach() * count;
    }

    /** Counts the aligned blocks of a level that are wholly available. */
    int blocks(int level) {
        int count = 0;
        for (int index = 0; index < worker.accelerators() >> level; index++) {
            if (isFree(level, index)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the first available block of a level that is no part of a larger one, 0 if none. */
    long maximalBlock(int level) {
        for (int index = 0; index < worker.accelerators() >> level; index++) {
            boolean maximal = level == top || !isFree(level + 1, index >> 1);
            if (isFree(level, index) && maximal) {
                return block(level, index);
            }
        }
        return 0;
    }

    private boolean isFree(int level, int index) {
        if (index >= worker.accelerators() >> level) {
            return false;
        }
        long block = block(level, index);
        return (mask & block) == block;
    }

    private static long block(int level, int index) {
        return lowBits(1 << level) << (index << level);
    }
}
