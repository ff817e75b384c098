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
 * The available cells of one data centre, in indexes that keep a search independent of fleet size.
 *
 * <p>Use: {@code index.find(demand)} returns cells for a job without allocating them. A cell is an
 * accelerator, an aligned block, a worker, a rack or a group of racks; cells nest in this order.
 *
 * <p>A search chooses the smallest cell that isn't part of a larger available one, so that large
 * cells stay whole as long as possible. By the same rule, a claim never takes a block that a larger
 * unclaimed guarantee needs (see the page on guarantees in {@code docs/design}). Only {@link Fleet}
 * changes an index.
 *
 * <p>Not thread-safe: belongs to its {@link Fleet}.
 */
public final class CellIndex {

    /** The number of levels: blocks of 1 to 512 accelerators. */
    public static final int LEVELS = 10;

    private static final Demand NO_RESOURCES = new Demand(1, Adjacency.WORKER, 0, 0);

    private record RackKey(String rack, int workerLevel) {}

    private record ClassKey(int workerLevel, int rackLevel) {}

    private record Candidate(int level, int whole, RackClass racks) {}

    private record Search(int level, Supplier<Optional<Placement>> find) {}

    private final DataCentreId dataCentre;
    private final Map<WorkerId, WorkerCells> workers = new LinkedHashMap<>();
    private final Map<RackKey, RackCells> racks = new LinkedHashMap<>();
    private final List<Set<WorkerCells>> partialWorkers = new ArrayList<>();
    private final Map<ClassKey, RackClass> classes = new LinkedHashMap<>();
    private final int[] blocks = new int[LEVELS];
    private long freeAccelerators;
    private long visited;

    CellIndex(DataCentreId dataCentre) {
        this.dataCentre = dataCentre;
        for (int level = 0; level < LEVELS; level++) {
            partialWorkers.add(new LinkedHashSet<>());
        }
    }

    /**
     * Returns how many blocks of a level can be formed if all available cells are used for it.
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
     * Returns the number of available accelerators.
     *
     * @return the number, from 0
     */
    public long freeAccelerators() {
        return freeAccelerators;
    }

    /**
     * Returns the number of workers and racks that all searches have visited, for benchmarks.
     *
     * @return the number, from 0
     */
    public long visited() {
        return visited;
    }

    /**
     * Finds a whole block for a job: its number of accelerators rounded up to a power of two. The
     * block is split off the smallest available cell that contains one.
     *
     * @param demand the resources that the job needs, not null
     * @return the block's cells, empty if there is no such block; they aren't allocated
     */
    public Optional<Placement> findBlock(Demand demand) {
        Demand block =
                new Demand(
                        1 << demand.level(),
                        demand.adjacency(),
                        demand.coresEach(),
                        demand.memoryMbEach());
        List<Search> searches = new ArrayList<>();
        for (int level = block.level(); level < LEVELS; level++) {
            int partialLevel = level;
            searches.add(new Search(level, () -> findInPartialWorkers(block, partialLevel)));
        }
        for (Candidate candidate : candidates(racks -> workersPerBlock(block, racks))) {
            int needed = workersPerBlock(block, candidate.racks());
            searches.add(new Search(candidate.level(), () -> findAmong(candidate, block, needed)));
        }
        if (demand.adjacency() == Adjacency.DATA_CENTRE && block.level() > largestRackLevel()) {
            for (RackClass racks : classes.values()) {
                int level = splitLevelOfUnits(racks, block);
                int workers = racks.unitWorkers();
                if (level >= 0) {
                    searches.add(new Search(level, () -> gatherWorkers(block, racks, workers)));
                }
            }
        }
        searches.sort(Comparator.comparingInt(Search::level));
        return searches.stream().flatMap(search -> search.find().get().stream()).findFirst();
    }

    /**
     * Finds cells for all members of a job, within the closest adjacency that has them.
     *
     * @param demand the resources that the job needs, not null
     * @return the cells, empty if there are none; they aren't allocated
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
     * Returns whether all cells of a placement are available.
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
        RackKey key = new RackKey(worker.rack(), WorkerCells.levelOf(worker));
        RackCells rack = racks.computeIfAbsent(key, ignored -> new RackCells(key.workerLevel()));
        WorkerCells cells = new WorkerCells(worker, rack);
        unlinkRack(rack);
        rack.changeSize(1);
        linkRack(rack);
        workers.put(worker.id(), cells);
        link(cells);
    }

    void remove(WorkerId worker) {
        WorkerCells cells = workers.remove(worker);
        unlink(cells);
        RackCells rack = cells.rack();
        unlinkRack(rack);
        rack.changeSize(-1);
        linkRack(rack);
    }

    void allocate(Placement placement, Demand demand) {
        placement.slices().forEach(slice -> change(slice, demand, -1));
    }

    /** Releases cells, except the accelerators in {@code heldMask}, which other jobs still hold. */
    void release(Placement placement, Demand demand, ToLongFunction<WorkerId> heldMask) {
        for (Slice slice : placement.slices()) {
            change(slice, demand, 1);
            withhold(slice, heldMask.applyAsLong(slice.worker()));
        }
    }

    void withhold(Slice slice) {
        change(slice, NO_RESOURCES, -1);
    }

    void restore(Slice slice, long heldMask) {
        change(slice, NO_RESOURCES, 1);
        withhold(slice, heldMask);
    }

    long mask(WorkerId worker) {
        return workers.get(worker).mask();
    }

    private void withhold(Slice slice, long heldMask) {
        long stillHeld = heldMask & slice.mask();
        if (stillHeld != 0) {
            withhold(new Slice(slice.worker(), stillHeld));
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
        for (int level = 0; level < cells.workerLevel(); level++) {
            if (cells.maximalBlock(level) != 0) {
                partialWorkers.get(level).add(cells);
            }
        }
        if (cells.isWhole()) {
            unlinkRack(cells.rack());
            cells.rack().wholeWorkers().add(cells);
            linkRack(cells.rack());
        }
    }

    private void unlink(WorkerCells cells) {
        count(cells, -1);
        for (int level = 0; level < cells.workerLevel(); level++) {
            partialWorkers.get(level).remove(cells);
        }
        if (cells.isWhole()) {
            unlinkRack(cells.rack());
            cells.rack().wholeWorkers().remove(cells);
            linkRack(cells.rack());
        }
    }

    private void count(WorkerCells cells, int sign) {
        freeAccelerators += sign * (long) Long.bitCount(cells.mask());
        for (int level = 0; level <= cells.workerLevel(); level++) {
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
        ClassKey key = new ClassKey(rack.workerLevel(), rack.rackLevel());
        return classes.computeIfAbsent(
                key, ignored -> new RackClass(key.workerLevel(), key.rackLevel()));
    }

    private void countRack(RackCells rack, int sign) {
        for (int level = rack.workerLevel() + 1;
                level <= rack.rackLevel() && level < LEVELS;
                level++) {
            blocks[level] += sign * rack.blocks(level);
        }
    }

    /** Returns the level of the largest rack; only blocks above this level span racks. */
    private int largestRackLevel() {
        int largest = 0;
        for (RackClass racks : classes.values()) {
            largest = racks.isEmpty() ? largest : Math.max(largest, racks.rackLevel());
        }
        return largest;
    }

    private static int workersPerBlock(Demand block, RackClass racks) {
        if (racks.workerLevel() >= block.level()) {
            return 1;
        }
        return block.adjacency() == Adjacency.WORKER
                ? 0
                : 1 << (block.level() - racks.workerLevel());
    }

    private Optional<Placement> findInPartialWorkers(Demand demand, int level) {
        for (WorkerCells cells : partialWorkers.get(level)) {
            visited++;
            if (cells.hasCoresAndMemoryFor(demand, demand.accelerators())) {
                return Optional.of(placementInBlock(cells, cells.maximalBlock(level), demand));
            }
        }
        return Optional.empty();
    }

    private Optional<Placement> findInWorker(Demand demand) {
        int requiredLevel = demand.level();
        for (int level = requiredLevel; level < LEVELS; level++) {
            Optional<Placement> found = findInPartialWorkers(demand, level);
            if (found.isPresent()) {
                return found;
            }
        }
        return findInRacks(demand, racks -> racks.workerLevel() >= requiredLevel ? 1 : 0);
    }

    private Placement placementInBlock(WorkerCells cells, long block, Demand demand) {
        int lowest = Long.numberOfTrailingZeros(block);
        long mask = WorkerCells.lowBits(demand.accelerators()) << lowest;
        return new Placement(dataCentre, List.of(new Slice(cells.worker().id(), mask)));
    }

    private Optional<Placement> findInRack(Demand demand) {
        return findInRacks(
                demand,
                racks -> racks.workerLevel() < demand.level() ? workersNeeded(demand, racks) : 0);
    }

    private static int workersNeeded(Demand demand, RackClass racks) {
        return (demand.accelerators() + (1 << racks.workerLevel()) - 1) >> racks.workerLevel();
    }

    /** Finds whole workers in the rack with the smallest cell to split. */
    private Optional<Placement> findInRacks(Demand demand, ToIntFunction<RackClass> needed) {
        return candidates(needed).stream()
                .flatMap(
                        candidate ->
                                findAmong(candidate, demand, needed.applyAsInt(candidate.racks()))
                                        .stream())
                .findFirst();
    }

    /**
     * Returns the racks with enough whole workers, grouped by class and number of whole workers,
     * ordered by the cell that has to be split; {@code workersNeeded} returns 0 to skip a class.
     */
    private List<Candidate> candidates(ToIntFunction<RackClass> workersNeeded) {
        int largest = largestRackLevel();
        List<Candidate> candidates = new ArrayList<>();
        for (RackClass racks : classes.values()) {
            int needed = workersNeeded.applyAsInt(racks);
            for (int whole : racks.racksByWholeWorkers().keySet()) {
                if (needed > 0 && whole >= needed) {
                    int level = racks.splitLevel(whole, needed, largest);
                    candidates.add(new Candidate(level, whole, racks));
                }
            }
        }
        candidates.sort(
                Comparator.comparingInt(Candidate::level).thenComparingInt(Candidate::whole));
        return candidates;
    }

    private Optional<Placement> findAmong(Candidate candidate, Demand demand, int needed) {
        for (RackCells rack : candidate.racks().racksByWholeWorkers().get(candidate.whole())) {
            visited++;
            List<WorkerCells> chosen = fittingWorkers(rack, demand, needed);
            if (chosen.size() == needed) {
                return Optional.of(placementOnWorkers(chosen, demand));
            }
        }
        return Optional.empty();
    }

    private List<WorkerCells> fittingWorkers(RackCells rack, Demand demand, int maxWorkers) {
        int acceleratorsEach = Math.min(demand.accelerators(), 1 << rack.workerLevel());
        List<WorkerCells> chosen = new ArrayList<>();
        for (WorkerCells cells : rack.wholeWorkers()) {
            if (chosen.size() == maxWorkers) {
                break;
            }
            visited++;
            if (cells.hasCoresAndMemoryFor(demand, acceleratorsEach)) {
                chosen.add(cells);
            }
        }
        return chosen;
    }

    private Placement placementOnWorkers(List<WorkerCells> chosen, Demand demand) {
        List<Slice> slices = new ArrayList<>();
        int remaining = demand.accelerators();
        for (WorkerCells cells : chosen) {
            int count = Math.min(remaining, 1 << cells.workerLevel());
            slices.add(new Slice(cells.worker().id(), WorkerCells.lowBits(count)));
            remaining -= count;
        }
        return new Placement(dataCentre, slices);
    }

    /** Finds units of the class with the smallest cell to split, otherwise any whole workers. */
    private Optional<Placement> findAcrossRacks(Demand demand) {
        List<RackClass> bySplitLevel = new ArrayList<>(classes.values());
        bySplitLevel.removeIf(racks -> splitLevelOfUnits(racks, demand) < 0);
        bySplitLevel.sort(Comparator.comparingInt(racks -> splitLevelOfUnits(racks, demand)));
        for (RackClass racks : bySplitLevel) {
            Optional<Placement> found = gatherWorkers(demand, racks, racks.unitWorkers());
            if (found.isPresent()) {
                return found;
            }
        }
        return classes.values().stream()
                .flatMap(racks -> gatherWorkers(demand, racks, 1).stream())
                .findFirst();
    }

    private static int splitLevelOfUnits(RackClass racks, Demand demand) {
        int workers = workersNeeded(demand, racks);
        int units = (workers + racks.unitWorkers() - 1) / racks.unitWorkers();
        return racks.splitLevelOfUnits(units);
    }

    /** Gathers workers from racks with at least {@code minWhole} whole ones, largest first. */
    private Optional<Placement> gatherWorkers(Demand demand, RackClass racks, int minWhole) {
        int needed = workersNeeded(demand, racks);
        List<WorkerCells> chosen = new ArrayList<>();
        List<Integer> counts = new ArrayList<>(racks.racksByWholeWorkers().keySet());
        counts.removeIf(whole -> whole < minWhole);
        counts.sort(Comparator.reverseOrder());
        for (int whole : counts) {
            for (RackCells rack : racks.racksByWholeWorkers().get(whole)) {
                if (chosen.size() == needed) {
                    return Optional.of(placementOnWorkers(chosen, demand));
                }
                visited++;
                int rackLimit = minWhole == 1 ? whole : minWhole;
                chosen.addAll(
                        fittingWorkers(rack, demand, Math.min(rackLimit, needed - chosen.size())));
            }
        }
        return chosen.size() == needed
                ? Optional.of(placementOnWorkers(chosen, demand))
                : Optional.empty();
    }
}
