package io.cardamomshelf.core.fleet;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The racks of one shape: the same worker size and the same largest block.
 *
 * <p>A rack whose largest block is whole is a unit; units of a class form still larger blocks, as
 * the binary digits of their number tell.
 *
 * <p>Not thread-safe: belongs to its {@link CellIndex}.
 */
final class RackClass {

    private final int top;
    private final int rackLevel;
    private final Map<Integer, Set<RackCells>> byWhole = new TreeMap<>();
    private int units;

    RackClass(int top, int rackLevel) {
        this.top = top;
        this.rackLevel = rackLevel;
    }

    int top() {
        return top;
    }

    int rackLevel() {
        return rackLevel;
    }

    /** Returns the racks by how many of their workers are whole. */
    Map<Integer, Set<RackCells>> byWhole() {
        return byWhole;
    }

    boolean isEmpty() {
        return byWhole.isEmpty();
    }

    int unitWorkers() {
        return 1 << (rackLevel - top);
    }

    void add(RackCells rack) {
        int whole = rack.whole().size();
        byWhole.computeIfAbsent(whole, any -> new LinkedHashSet<>()).add(rack);
        units += whole >= unitWorkers() ? 1 : 0;
    }

    boolean remove(RackCells rack) {
        int whole = rack.whole().size();
        Set<RackCells> bucket = byWhole.get(whole);
        if (bucket == null || !bucket.remove(rack)) {
            return false;
        }
        if (bucket.isEmpty()) {
            byWhole.remove(whole);
        }
        units -= whole >= unitWorkers() ? 1 : 0;
        return true;
    }

    /** Counts the blocks of a level above a rack that the units form. */
    int blocks(int level) {
        return level <= rackLevel ? 0 : units >> (level - rackLevel);
    }

    /**
     * Returns the level of the smallest available cell that a need of workers in one rack breaks
     * up.
     *
     * @param whole how many workers of the rack are whole, at least the need
     * @param need how many workers are needed, from 1
     * @param largestRackLevel the level above which racks form blocks together
     */
    int brokenLevel(int whole, int need, int largestRackLevel) {
        int wanted = roundedUp(need);
        int below = whole & (unitWorkers() - 1);
        int lowest = Integer.lowestOneBit(below & -wanted);
        if (lowest != 0) {
            return top + log2(lowest);
        }
        if (whole >= unitWorkers() && wanted <= unitWorkers()) {
            int looseUnits = units & ((2 << (largestRackLevel - rackLevel)) - 1);
            return looseUnits > 0 ? rackLevel : rackLevel + log2(Integer.lowestOneBit(units));
        }
        // Only several cells together hold the need; they are best used up if nothing is left over.
        return whole == need ? top : CellIndex.LEVELS;
    }

    /**
     * Returns the level of the smallest cell that a need of units breaks up, -1 if there is none.
     */
    int brokenLevelOfUnits(int need) {
        int lowest = Integer.lowestOneBit(units & -roundedUp(need));
        return lowest == 0 ? -1 : rackLevel + log2(lowest);
    }

    private static int roundedUp(int need) {
        return need == 1 ? 1 : Integer.highestOneBit(need - 1) << 1;
    }

    private static int log2(int power) {
        return Integer.numberOfTrailingZeros(power);
    }
}
