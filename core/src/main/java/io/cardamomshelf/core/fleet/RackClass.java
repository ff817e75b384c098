package io.cardamomshelf.core.fleet;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The racks of one shape: the largest blocks of their workers have the same level, and so have the
 * largest blocks of the racks themselves.
 *
 * <p>A rack whose largest block is available is a unit. The units of a class together form larger
 * blocks: each binary digit 1 in the number of units is one block of that many racks.
 *
 * <p>Not thread-safe: belongs to its {@link CellIndex}.
 */
final class RackClass {

    private final int workerLevel;
    private final int rackLevel;
    private final Map<Integer, Set<RackCells>> racksByWholeWorkers = new TreeMap<>();
    private int units;

    RackClass(int workerLevel, int rackLevel) {
        this.workerLevel = workerLevel;
        this.rackLevel = rackLevel;
    }

    int workerLevel() {
        return workerLevel;
    }

    int rackLevel() {
        return rackLevel;
    }

    /** Returns the racks, grouped by the number of their whole workers. */
    Map<Integer, Set<RackCells>> racksByWholeWorkers() {
        return racksByWholeWorkers;
    }

    boolean isEmpty() {
        return racksByWholeWorkers.isEmpty();
    }

    int unitWorkers() {
        return 1 << (rackLevel - workerLevel);
    }

    void add(RackCells rack) {
        int whole = rack.wholeWorkers().size();
        racksByWholeWorkers.computeIfAbsent(whole, ignored -> new LinkedHashSet<>()).add(rack);
        units += whole >= unitWorkers() ? 1 : 0;
    }

    boolean remove(RackCells rack) {
        int whole = rack.wholeWorkers().size();
        Set<RackCells> bucket = racksByWholeWorkers.get(whole);
        if (bucket == null || !bucket.remove(rack)) {
            return false;
        }
        if (bucket.isEmpty()) {
            racksByWholeWorkers.remove(whole);
        }
        units -= whole >= unitWorkers() ? 1 : 0;
        return true;
    }

    /** Counts the blocks of a level that the units form; 0 for the level of one rack and below. */
    int blocks(int level) {
        return level <= rackLevel ? 0 : units >> (level - rackLevel);
    }

    /**
     * Returns the level of the smallest available cell that has to be split to allocate workers in
     * one rack.
     *
     * @param whole the number of whole workers in the rack, at least {@code needed}
     * @param needed the number of workers to allocate, from 1
     * @param largestRackLevel the level of the largest rack; blocks above it span racks
     * @return the level; {@link CellIndex#LEVELS} if the workers need several cells and don't use
     *     them up
     */
    int splitLevel(int whole, int needed, int largestRackLevel) {
        int rounded = roundUpToPowerOfTwo(needed);
        int workersOutsideUnits = whole & (unitWorkers() - 1);
        int lowest = Integer.lowestOneBit(workersOutsideUnits & -rounded);
        if (lowest != 0) {
            return workerLevel + log2(lowest);
        }
        if (whole >= unitWorkers() && rounded <= unitWorkers()) {
            int unitsOutsideSpanningBlocks = units & ((2 << (largestRackLevel - rackLevel)) - 1);
            return unitsOutsideSpanningBlocks > 0
                    ? rackLevel
                    : rackLevel + log2(Integer.lowestOneBit(units));
        }
        // No single cell is large enough, so a rack whose whole workers are all used comes first.
        return whole == needed ? workerLevel : CellIndex.LEVELS;
    }

    /**
     * Returns the level of the smallest cell that has to be split to allocate units, -1 if there is
     * none.
     */
    int splitLevelOfUnits(int needed) {
        int lowest = Integer.lowestOneBit(units & -roundUpToPowerOfTwo(needed));
        return lowest == 0 ? -1 : rackLevel + log2(lowest);
    }

    private static int roundUpToPowerOfTwo(int count) {
        return count == 1 ? 1 : Integer.highestOneBit(count - 1) << 1;
    }

    private static int log2(int power) {
        return Integer.numberOfTrailingZeros(power);
    }
}
