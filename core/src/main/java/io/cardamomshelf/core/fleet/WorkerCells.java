package io.cardamomshelf.core.fleet;

/**
 * The available accelerators of one worker. They are managed as in a buddy allocator: a block of
 * level n has 2<sup>n</sup> accelerators, starts at a multiple of its size and consists of two
 * blocks of the level below. A worker is whole if its largest block is available.
 *
 * <p>Not thread-safe: belongs to its {@link CellIndex}.
 */
final class WorkerCells {

    private final Worker worker;
    private final RackCells rack;
    private final int workerLevel;
    private long mask;
    private int freeCores;
    private int freeMemoryMb;

    WorkerCells(Worker worker, RackCells rack) {
        this.worker = worker;
        this.rack = rack;
        this.workerLevel = levelOf(worker);
        this.mask = lowBits(worker.accelerators());
        this.freeCores = worker.cores();
        this.freeMemoryMb = worker.memoryMb();
    }

    static int levelOf(Worker worker) {
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

    int workerLevel() {
        return workerLevel;
    }

    long mask() {
        return mask;
    }

    boolean isWhole() {
        return (mask & lowBits(1 << workerLevel)) == lowBits(1 << workerLevel);
    }

    boolean hasCoresAndMemoryFor(Demand demand, int accelerators) {
        return freeCores >= demand.coresEach() * (long) accelerators
                && freeMemoryMb >= demand.memoryMbEach() * (long) accelerators;
    }

    /**
     * Allocates or releases accelerators with the demand's cores and memory for each of them.
     *
     * @param sign -1 to allocate, 1 to release
     */
    void change(Slice slice, Demand demand, int sign) {
        mask = sign < 0 ? mask & ~slice.mask() : mask | slice.mask();
        int count = slice.accelerators();
        freeCores += sign * demand.coresEach() * count;
        freeMemoryMb += sign * demand.memoryMbEach() * count;
    }

    /** Counts the blocks of a level whose accelerators are all available. */
    int blocks(int level) {
        int count = 0;
        for (int index = 0; index < worker.accelerators() >> level; index++) {
            if (isFree(level, index)) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns the mask of the first available block of a level that isn't part of a larger
     * available block.
     *
     * @return the mask, 0 if there is no such block
     */
    long maximalBlock(int level) {
        for (int index = 0; index < worker.accelerators() >> level; index++) {
            boolean maximal = level == workerLevel || !isFree(level + 1, index >> 1);
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
