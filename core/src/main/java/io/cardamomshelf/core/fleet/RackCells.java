package io.cardamomshelf.core.fleet;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The workers of one rack whose largest blocks have the same level: their number, and those among
 * them that are whole.
 *
 * <p>Not thread-safe: belongs to its {@link CellIndex}.
 */
final class RackCells {

    private final int workerLevel;
    private final Set<WorkerCells> wholeWorkers = new LinkedHashSet<>();
    private int size;

    RackCells(int workerLevel) {
        this.workerLevel = workerLevel;
    }

    int workerLevel() {
        return workerLevel;
    }

    int size() {
        return size;
    }

    void changeSize(int change) {
        size += change;
    }

    Set<WorkerCells> wholeWorkers() {
        return wholeWorkers;
    }

    /**
     * Returns the level of the largest block that the rack can form when all its workers are whole.
     */
    int rackLevel() {
        return workerLevel + Integer.SIZE - 1 - Integer.numberOfLeadingZeros(Math.max(1, size));
    }

    /** Counts the blocks of a level that the whole workers can form. */
    int blocks(int level) {
        return level <= workerLevel || level > rackLevel()
                ? 0
                : wholeWorkers.size() >> (level - workerLevel);
    }
}
