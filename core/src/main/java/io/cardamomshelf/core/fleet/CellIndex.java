package io.cardamomshelf.core.fleet;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.WorkerId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
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

    private record ClassKey(int top, int rackLevel) {}

    private record Candidate(int level, int whole, RackClass racks) {}

    private record Cell(int level, Supplier<Optional<Placement>> search) {}

    private final DataCentreId dataCentre;
    private final Map<WorkerId, WorkerCells> workers = new LinkedHashMap<>();
    private final Map<RackKey, RackCells> racks = new LinkedHashMap<>();
    private final List<Set<WorkerCells>> partial = new ArrayList<>();
    private final Map<ClassKey, RackClass> classes = new LinkedHashMap<>();
    private final int[] blocks = new int[LEVELS];
    private long freeAccelerators;
    private long visited;

    CellIndex(DataCentreId dataCentre) {
        this.dataCentre = dataCentre;
        for (int level = 0; level < LEVELS; level++) {
            partial.add(new LinkedHashSet<>());
        }
    }

    /**
     * Returns how many blocks of a level can be formed of the available cells, all for this level.
     *
     * @param level the level, 0 to 9
     * @return the number, from 0
     */
    public long blocks(int level) {
        long count = blocks[level];
        if (level > largestRackLevel()) {
            for (RackClass racks : classes.values()) {
                count += racks.blocks(level);
            }
        }
        return count;
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
     * Finds the whole block that holds a job: its accelerators rounded up to a power of two. Of all
     * cells that contain such a block it breaks up the smallest.
     *
     * @param demand what the job needs, not null
     * @return the block's cells, empty if there is no such block; nothing is taken
     */
    public Optional<Placement> findBlock(Demand demand) {
        Demand block =
                new Demand(
                        1 << demand.level(),
                        demand.adjacency(),
                        demand.coresEach(),
                        demand.memoryMbEach());
        List<Cell> cells = new ArrayList<>();
        for (int level = block.level(); level < LEVELS; level++) {
            int partialLevel = level;
            cells.add(new Cell(level, () -> findInPartial(block, partialLevel)));
        }
        for (Candidate candidate : candidates(racks -> workersOfBlock(block, racks))) {
            int need = workersOfBlock(block, candidate.racks());
            cells.add(new Cell(candidate.level(), () -> findIn(candidate, block, need)));
        }
        if (demand.adjacency() == Adjacency.DATA_CENTRE && block.level() > largestRackLevel()) {
            for (RackClass racks : classes.values()) {
                int level = brokenLevelOfUnits(racks, block);
                int workers = racks.unitWorkers();
                if (level >= 0) {
                    cells.add(new Cell(level, () -> gather(block, racks, workers)));
                }
            }
        }
        cells.sort(Comparator.comparingInt(Cell::level));
        return cells.stream().flatMap(cell -> cell.search().get().stream()).findFirst();
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

    /**
     * Asks whether all cells of a placement are available.
     *
     * @param cells the cells, not null
     * @return true if they are
     */
    public boolean isAvailable(Placement cells) {
        return cells.slices().stream().allMatch(this::isAvailable);
    }

    private boolean isAvailable(Slice slice) {
        WorkerCells cells = workers.get(slice.worker());
        return cells != null && (cells.mask() & slice.mask()) == slice.mask();
    }

    void put(Worker worker) {
        RackKey key = new RackKey(worker.rack(), WorkerCells.topLevel(worker));
        RackCells rack = racks.computeIfAbsent(key, any -> new RackCells(key.top()));
        WorkerCells cells = new WorkerCells(worker, rack);
        unlinkRack(rack);
        rack.resize(1);
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

    void take(Placement placement, Demand demand) {
        placement.slices().forEach(slice -> change(slice, demand, -1));
    }

    /** Gives cells back, but for the accelerators that {@code kept} names as another job's. */
    void give(Placement placement, Demand demand, ToLongFunction<WorkerId> kept) {
        for (Slice slice : placement.slices()) {
            change(slice, demand, 1);
            withhold(slice, kept.applyAsLong(slice.worker()));
        }
    }

    void withhold(Slice slice) {
        change(slice, NOTHING, -1);
    }

    void restore(Slice slice, long kept) {
        change(slice, NOTHING, 1);
        withhold(slice, kept);
    }

    long mask(WorkerId worker) {
        return workers.get(worker).mask();
    }

    private void withhold(Slice slice, long kept) {
        long others = kept & slice.mask();
        if (others != 0) {
            withhold(new Slice(slice.worker(), others));
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
        classOf(rack).add(rack);
    }

    private void unlinkRack(RackCells rack) {
        if (classOf(rack).remove(rack)) {
            countRack(rack, -1);
        }
    }

    private RackClass classOf(RackCells rack) {
        ClassKey key = new ClassKey(rack.top(), rack.topLevel());
        return classes.computeIfAbsent(key, any -> new RackClass(key.top(), key.rackLevel()));
    }

    private void countRack(RackCells rack, int sign) {
        for (int level = rack.top() + 1; level <= rack.topLevel() && level < LEVELS; level++) {
            blocks[level] += sign * rack.blocks(level);
        }
    }

    /** Returns the level of the largest rack; only blocks above it are formed across racks. */
    private int largestRackLevel() {
        int largest = 0;
        for (RackClass racks : classes.values()) {
            largest = racks.isEmpty() ? largest : Math.max(largest, racks.rackLevel());
        }
        return largest;
    }

    private static int workersOfBlock(Demand block, RackClass racks) {
        if (racks.top() >= block.level()) {
            return 1;
        }
        return block.adjacency() == Adjacency.WORKER ? 0 : 1 << (block.level() - racks.top());
    }

    private Optional<Placement> findInPartial(Demand demand, int level) {
        for (WorkerCells cells : partial.get(level)) {
            visited++;
            if (cells.isFitting(demand, demand.accelerators())) {
                return Optional.of(inBlock(cells, cells.maximalBlock(level), demand));
            }
        }
        return Optional.empty();
    }

    private Optional<Placement> findInWorker(Demand demand) {
        int wanted = demand.level();
        for (int level = wanted; level < LEVELS; level++) {
            Optional<Placement> found = findInPartial(demand, level);
            if (found.isPresent()) {
                return found;
            }
        }
        return findInRacks(demand, racks -> racks.top() >= wanted ? 1 : 0);
    }

    private Placement inBlock(WorkerCells cells, long block, Demand demand) {
        int lowest = Long.numberOfTrailingZeros(block);
        long mask = WorkerCells.lowBits(demand.accelerators()) << lowest;
        return new Placement(dataCentre, List.of(new Slice(cells.worker().id(), mask)));
    }

    private Optional<Placement> findInRack(Demand demand) {
        return findInRacks(
                demand, racks -> racks.top() < demand.level() ? workersNeeded(demand, racks) : 0);
    }

    private static int workersNeeded(Demand demand, RackClass racks) {
        return (demand.accelerators() + (1 << racks.top()) - 1) >> racks.top();
    }

    /** Takes workers of the rack in which the need breaks up the smallest cell. */
    private Optional<Placement> findInRacks(Demand demand, ToIntFunction<RackClass> needs) {
        return candidates(needs).stream()
                .flatMap(
                        candidate ->
                                findIn(candidate, demand, needs.applyAsInt(candidate.racks()))
                                        .stream())
                .findFirst();
    }

    /**
     * Returns the kinds of racks that hold the need, smallest broken cell first; 0 skips a class.
     */
    private List<Candidate> candidates(ToIntFunction<RackClass> needs) {
        int largest = largestRackLevel();
        List<Candidate> candidates = new ArrayList<>();
        for (RackClass racks : classes.values()) {
            int need = needs.applyAsInt(racks);
            for (int whole : racks.byWhole().keySet()) {
                if (need > 0 && whole >= need) {
                    int level = racks.brokenLevel(whole, need, largest);
                    candidates.add(new Candidate(level, whole, racks));
                }
            }
        }
        candidates.sort(
                Comparator.comparingInt(Candidate::level).thenComparingInt(Candidate::whole));
        return candidates;
    }

    private Optional<Placement> findIn(Candidate candidate, Demand demand, int need) {
        for (RackCells rack : candidate.racks().byWhole().get(candidate.whole())) {
            visited++;
            List<WorkerCells> chosen = fitting(rack, demand, need);
            if (chosen.size() == need) {
                return Optional.of(onWorkers(chosen, demand));
            }
        }
        return Optional.empty();
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

    /**
     * Takes whole units of the class in which that breaks up the smallest cell, else any workers.
     */
    private Optional<Placement> findAcrossRacks(Demand demand) {
        List<RackClass> byCell = new ArrayList<>(classes.values());
        byCell.removeIf(racks -> brokenLevelOfUnits(racks, demand) < 0);
        byCell.sort(Comparator.comparingInt(racks -> brokenLevelOfUnits(racks, demand)));
        for (RackClass racks : byCell) {
            Optional<Placement> found = gather(demand, racks, racks.unitWorkers());
            if (found.isPresent()) {
                return found;
            }
        }
        return classes.values().stream()
                .flatMap(racks -> gather(demand, racks, 1).stream())
                .findFirst();
    }

    private static int brokenLevelOfUnits(RackClass racks, Demand demand) {
        int workers = workersNeeded(demand, racks);
        int units = (workers + racks.unitWorkers() - 1) / racks.unitWorkers();
        return racks.brokenLevelOfUnits(units);
    }

    /**
     * Gathers workers from the racks with the most whole ones, from racks with at least so many.
     */
    private Optional<Placement> gather(Demand demand, RackClass racks, int atLeast) {
        int need = workersNeeded(demand, racks);
        List<WorkerCells> chosen = new ArrayList<>();
        List<Integer> counts = new ArrayList<>(racks.byWhole().keySet());
        counts.removeIf(whole -> whole < atLeast);
        counts.sort(Comparator.reverseOrder());
        for (int whole : counts) {
            for (RackCells rack : racks.byWhole().get(whole)) {
                if (chosen.size() == need) {
                    return Optional.of(onWorkers(chosen, demand));
                }
                visited++;
                int most = atLeast == 1 ? whole : atLeast;
                chosen.addAll(fitting(rack, demand, Math.min(most, need - chosen.size())));
            }
        }
        return chosen.size() == need ? Optional.of(onWorkers(chosen, demand)) : Optional.empty();
    }
}
