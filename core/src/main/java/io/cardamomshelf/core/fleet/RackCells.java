package io.cardamomshelf.core.fleet;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The workers of one rack that have the same number of accelerators, and which of them are whole.
 *
 * <p>Not thread-safe: belongs to its {@link CellIndex}.
 */
final class RackCells {

    private final int top;
    private final Set<WorkerCells> whole = new LinkedHashSet<>();
    private int size;

    RackCells(int top) {
        this.top = top;
    }

    int top() {
        return top;
    }

    int size() {
        return size;
    }

    void resize(int change) {
        size += change;
    }

    Set<WorkerCells> whole() {
        return whole;
    }

    /** Returns the level of the largest block that the rack holds when it is whole. */
    int topLevel() {
        return top + Integer.SIZE - 1 - Integer.numberOfLeadingZeros(Math.max(1, size));
    }

    /** Counts the blocks of a level that the whole workers can form. */
    int blocks(int level) {
        return level <= top || level > topLevel() ? 0 : whole.size() >> (level - top);
    }
}
