package io.cardamomshelf.core.fleet;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.WorkerId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * The available cells of one data centre, indexed so that a search doesn't grow with the fleet.
 *
 * <p>Use: {@code index.find(demand)} proposes cells, {@code take} and {@code give} change them.
 *
 * <p>Cells nest: accelerator, aligned block, worker, rack, racks. A search takes the smallest cell
 * that is no part of a larger available one, so that large cells stay whole as long as possible; by
 * the same rule a claim never uses up a block that a larger unclaimed shape needs (see the page on
 * guarantees in {@code docs/design}).
 *
 * <p>Not thread-safe: belongs to its {@link Fleet}.
 */
public final class CellIndex {

    /** The number of levels: blocks of 1 to 512 accelerators. */
    public static final int LEVELS = 10;

    private static final Demand NOTHING = new Demand(1, Adjacency.WORKER, 0, 0);

    private record RackKey(String rack, int top) {}

    private final DataCentreId dataCentre;
    private final Map<WorkerId, WorkerCells> workers = new LinkedHashMap<>();
    private final Map<RackKey, RackCells> racks = new LinkedHashMap<>();
    private final List<Set<WorkerCells>> partial = new ArrayList<>();
    private final List<Map<Integer, Set<RackCells>>> racksByWhole = new ArrayList<>();
    private final int[] blocks = new int[LEVELS];
    private long wholeRackAccelerators;
    private int largestRackLevel;
    private long freeAccelerators;
    private long visited;

    CellIndex(DataCentreId dataCentre) {
        this.dataCentre = dataCentre;
        for (int level = 0; level < LEVELS; level++) {
            partial.add(new LinkedHashSet<>());
            racksByWhole.add(new TreeMap<>());
        }
    }

    /**
     * Returns how many blocks of a level can be formed of the available cells, all for this level.
     *
     * @param level the level, 0 to 9
     * @return the number, from 0
     */
    public long blocks(int level) {
        return blocks[level] + blocksOfRacks(level);
    }

    /**
     * Returns the available accelerators.
     *
     * @return the number, from 0
     */
    public long freeAccelerators() {
        return freeAccelerators;
    }

    /**
     * Returns how many workers and racks all searches have looked at.
     *
     * @return the number, from 0
     */
    public long visited() {
        return visited;
    }

    /**
     * Finds cells for a whole job.
     *
     * @param demand what the job needs, not null
     * @return the cells, empty if there are none; nothing is taken
     */
    public Optional<Placement> find(Demand demand) {
        Optional<Placement> found = findInWorker(demand);
        if (found.isEmpty() && demand.adjacency() != Adjacency.WORKER) {
            found = findInRack(demand);
        }
        if (found.isEmpty() && demand.adjacency() == Adjacency.DATA_CENTRE) {
            found = findAcrossRacks(demand);
        }
        return found;
    }

    void put(Worker worker) {
        RackKey key = new RackKey(worker.rack(), WorkerCells.topLevel(worker));
        RackCells rack = racks.computeIfAbsent(key, any -> new RackCells(key.top()));
        WorkerCells cells = new WorkerCells(worker, rack);
        unlinkRack(rack);
        rack.resize(1);
        largestRackLevel = Math.max(largestRackLevel, rack.topLevel());
        linkRack(rack);
        workers.put(worker.id(), cells);
        link(cells);
    }

    void remove(WorkerId worker) {
        WorkerCells cells = workers.remove(worker);
        unlink(cells);
        RackCells rack = cells.rack();
        unlinkRack(rack);
        rack.resize(-1);
        linkRack(rack);
    }

    boolean isKnown(WorkerId worker) {
        return workers.containsKey(worker);
    }

    long mask(WorkerId worker) {
        return workers.get(worker).mask();
    }

    void take(Placement placement, Demand demand) {
        placement.slices().forEach(slice -> change(slice, demand, -1));
    }

    /** Gives cells back, but for the accelerators that {@code kept} names as another job's. */
    void give(Placement placement, Demand demand, ToLongFunction<WorkerId> kept) {
        for (Slice slice : placement.slices()) {
            change(slice, demand, 1);
            WorkerCells cells = workers.get(slice.worker());
            long others = kept.applyAsLong(slice.worker()) & slice.mask();
            if (cells != null && others != 0) {
                unlink(cells);
                cells.change(new Slice(slice.worker(), others), NOTHING, -1);
                link(cells);
            }
        }
    }

    private void change(Slice slice, Demand demand, int sign) {
        WorkerCells cells = workers.get(slice.worker());
        if (cells == null) {
            return;
        }
        unlink(cells);
        cells.change(slice, demand, sign);
        link(cells);
    }

    private void link(WorkerCells cells) {
        count(cells, 1);
        for (int level = 0; level < cells.top(); level++) {
            if (cells.maximalBlock(level) != 0) {
                partial.get(level).add(cells);
            }
        }
        if (cells.isWhole()) {
            unlinkRack(cells.rack());
            cells.rack().whole().add(cells);
            linkRack(cells.rack());
        }
    }

    private void unlink(WorkerCells cells) {
        count(cells, -1);
        for (int level = 0; level < cells.top(); level++) {
            partial.get(level).remove(cells);
        }
        if (cells.isWhole()) {
            unlinkRack(cells.rack());
            cells.rack().whole().remove(cells);
            linkRack(cells.rack());
        }
    }

    private void count(WorkerCells cells, int sign) {
        freeAccelerators += sign * (long) Long.bitCount(cells.mask());
        for (int level = 0; level <= cells.top(); level++) {
            blocks[level] += sign * cells.blocks(level);
        }
    }

    private void linkRack(RackCells rack) {
        countRack(rack, 1);
        racksByWhole
                .get(rack.top())
                .computeIfAbsent(rack.whole().size(), any -> new LinkedHashSet<>())
                .add(rack);
    }

    private void unlinkRack(RackCells rack) {
        Set<RackCells> bucket = racksByWhole.get(rack.top()).get(rack.whole().size());
        if (bucket != null && bucket.remove(rack)) {
            countRack(rack, -1);
        }
    }

    private void countRack(RackCells rack, int sign) {
        for (int level = rack.top() + 1; level <= rack.topLevel() && level < LEVELS; level++) {
            blocks[level] += sign * rack.blocks(level);
        }
        if (rack.isWhole()) {
            wholeRackAccelerators += sign * (1L << rack.topLevel());
        }
    }

    private long blocksOfRacks(int level) {
        return level > largestRackLevel ? wholeRackAccelerators >> level : 0;
    }

    private Optional<Placement> findInWorker(Demand demand) {
        int wanted = demand.level();
        for (int level = wanted; level < LEVELS; level++) {
            for (WorkerCells cells : partial.get(level)) {
                visited++;
                if (cells.isFitting(demand, demand.accelerators())) {
                    return Optional.of(inBlock(cells, cells.maximalBlock(level), demand));
                }
            }
        }
        for (int top = wanted; top < LEVELS; top++) {
            Optional<Placement> found = findInRacks(demand, top, 1);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    private Placement inBlock(WorkerCells cells, long block, Demand demand) {
        int lowest = Long.numberOfTrailingZeros(block);
        long mask = WorkerCells.lowBits(demand.accelerators()) << lowest;
        return new Placement(dataCentre, List.of(new Slice(cells.worker().id(), mask)));
    }

    private Optional<Placement> findInRack(Demand demand) {
        for (int top = LEVELS - 1; top >= 0; top--) {
            int need = workersNeeded(demand, top);
            Optional<Placement> found =
                    need > 1 ? findInRacks(demand, top, need) : Optional.empty();
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    private static int workersNeeded(Demand demand, int top) {
        return (demand.accelerators() + (1 << top) - 1) >> top;
    }

    /** Takes the rack whose whole workers beyond the need break up the smallest block. */
    private Optional<Placement> findInRacks(Demand demand, int top, int need) {
        List<Integer> counts = new ArrayList<>(racksByWhole.get(top).keySet());
        counts.removeIf(count -> count < need);
        counts.sort((a, b) -> Integer.compare(brokenBlock(a, need), brokenBlock(b, need)));
        for (int count : counts) {
            for (RackCells rack : racksByWhole.get(top).get(count)) {
                visited++;
                List<WorkerCells> chosen = fitting(rack, demand, need);
                if (chosen.size() == need) {
                    return Optional.of(onWorkers(chosen, demand));
                }
            }
        }
        return Optional.empty();
    }

    /** Ranks a rack by the block that the need would break up; an exact fit breaks none. */
    private static int brokenBlock(int whole, int need) {
        int wanted = need == 1 ? 1 : Integer.highestOneBit(need - 1) << 1;
        int lowest = Integer.lowestOneBit(whole & -wanted);
        return lowest == 0 ? whole - need : lowest * LEVELS + Integer.bitCount(whole);
    }

    private List<WorkerCells> fitting(RackCells rack, Demand demand, int need) {
        int each = Math.min(demand.accelerators(), 1 << rack.top());
        List<WorkerCells> chosen = new ArrayList<>();
        for (WorkerCells cells : rack.whole()) {
            if (chosen.size() == need) {
                break;
            }
            visited++;
            if (cells.isFitting(demand, each)) {
                chosen.add(cells);
            }
        }
        return chosen;
    }

    private Placement onWorkers(List<WorkerCells> chosen, Demand demand) {
        List<Slice> slices = new ArrayList<>();
        int left = demand.accelerators();
        for (WorkerCells cells : chosen) {
            int count = Math.min(left, 1 << cells.top());
            slices.add(new Slice(cells.worker().id(), WorkerCells.lowBits(count)));
            left -= count;
        }
        return new Placement(dataCentre, slices);
    }

    private Optional<Placement> findAcrossRacks(Demand demand) {
        for (int top = LEVELS - 1; top >= 0; top--) {
            int need = workersNeeded(demand, top);
            List<WorkerCells> chosen = new ArrayList<>();
            List<Integer> counts = new ArrayList<>(racksByWhole.get(top).keySet());
            counts.sort((a, b) -> Integer.compare(b, a));
            for (int count : counts) {
                for (RackCells rack : racksByWhole.get(top).get(count)) {
                    if (chosen.size() < need) {
                        visited++;
                        chosen.addAll(fitting(rack, demand, need - chosen.size()));
                    }
                }
            }
            if (chosen.size() == need) {
                return Optional.of(onWorkers(chosen, demand));
            }
        }
        return Optional.empty();
    }
}
