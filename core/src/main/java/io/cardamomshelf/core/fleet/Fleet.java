package io.cardamomshelf.core.fleet;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The workers that an instance schedules on, the allocations on them, and the indexes of available
 * cells.
 *
 * <p>Use: {@code fleet.put(worker)} as workers report, {@code fleet.allocate(allocation)} when a
 * job is placed, and {@code fleet.release(job)} when it ends. Each data centre has three indexes:
 * of the free cells, of the reclaimable cells (free or borrowed), and of all cells.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class Fleet {

    private static final class DataCentreCells {
        private final CellIndex free;
        private final CellIndex reclaimable;
        private final CellIndex all;
        private final Map<WorkerId, Worker> workers = new LinkedHashMap<>();
        // The smallest shares of all workers so far, including removed ones.
        private int coresEach = Integer.MAX_VALUE;
        private int memoryMbEach = Integer.MAX_VALUE;

        DataCentreCells(DataCentreId dataCentre) {
            free = new CellIndex(dataCentre);
            reclaimable = new CellIndex(dataCentre);
            all = new CellIndex(dataCentre);
        }
    }

    private final Map<DataCentreId, DataCentreCells> dataCentres = new TreeMap<>();
    private final Map<WorkerId, Worker> workers = new LinkedHashMap<>();

    /** The workers in the indexes of all cells: those present, and those that may return. */
    private final Set<WorkerId> rememberedWorkers = new HashSet<>();

    private final Map<JobId, Allocation> allocations = new LinkedHashMap<>();
    private final Map<WorkerId, Set<JobId>> jobsByWorker = new HashMap<>();
    private final Map<OrganisationId, Integer> used = new HashMap<>();
    private long version;

    /**
     * Adds a worker. Allocations that include the worker already are entered in the indexes.
     *
     * @param worker the worker, not null
     * @return true if the worker was not present
     */
    public boolean put(Worker worker) {
        if (workers.putIfAbsent(worker.id(), worker) != null) {
            return false;
        }
        version++;
        DataCentreCells cells =
                dataCentres.computeIfAbsent(worker.dataCentre(), DataCentreCells::new);
        cells.coresEach = Math.min(cells.coresEach, worker.cores() / worker.accelerators());
        cells.memoryMbEach =
                Math.min(cells.memoryMbEach, worker.memoryMb() / worker.accelerators());
        cells.free.put(worker);
        cells.reclaimable.put(worker);
        if (rememberedWorkers.add(worker.id())) {
            cells.all.put(worker);
        }
        cells.workers.put(worker.id(), worker);
        for (JobId job : jobsOn(worker.id())) {
            allocateOn(cells, allocations.get(job), worker.id());
        }
        return true;
    }

    /**
     * Removes a worker that may return. Its allocations stay until they are released, and the index
     * of all cells still contains the worker, so that a job that fits only there isn't refused.
     *
     * @param worker the worker, not null
     * @return true if the worker was present
     */
    public boolean remove(WorkerId worker) {
        Worker removed = workers.remove(worker);
        if (removed == null) {
            return false;
        }
        version++;
        DataCentreCells cells = dataCentres.get(removed.dataCentre());
        cells.free.remove(worker);
        cells.reclaimable.remove(worker);
        cells.workers.remove(worker);
        return true;
    }

    /**
     * Removes a worker that won't return, also from the index of all cells.
     *
     * @param worker the worker, not null
     * @param dataCentre the data centre that the worker was in, not null
     */
    public void forget(WorkerId worker, DataCentreId dataCentre) {
        remove(worker);
        if (rememberedWorkers.remove(worker)) {
            cells(dataCentre).all.remove(worker);
        }
    }

    /**
     * Allocates cells to a job. Does nothing if the job has cells already.
     *
     * @param allocation the job and its cells, not null
     */
    public void allocate(Allocation allocation) {
        if (allocations.putIfAbsent(allocation.job(), allocation) != null) {
            return;
        }
        version++;
        used.merge(allocation.organisation(), allocation.demand().accelerators(), Integer::sum);
        DataCentreCells cells = cells(allocation);
        cells.free.allocate(allocation.placement(), allocation.demand());
        if (allocation.guaranteed()) {
            cells.reclaimable.allocate(allocation.blockPlacement(), allocation.demand());
        }
        for (WorkerId worker : workersOf(allocation)) {
            jobsByWorker
                    .computeIfAbsent(worker, ignored -> new LinkedHashSet<>())
                    .add(allocation.job());
        }
    }

    /**
     * Releases a job's cells.
     *
     * @param job the job, not null
     * @return the released allocation, empty if the job had no cells
     */
    public Optional<Allocation> release(JobId job) {
        Allocation allocation = allocations.remove(job);
        if (allocation == null) {
            return Optional.empty();
        }
        version++;
        used.merge(allocation.organisation(), -allocation.demand().accelerators(), Integer::sum);
        workersOf(allocation).forEach(worker -> jobsByWorker.get(worker).remove(job));
        DataCentreCells cells = cells(allocation);
        cells.free.release(allocation.placement(), allocation.demand(), this::allocatedMask);
        if (allocation.guaranteed()) {
            cells.reclaimable.release(
                    allocation.blockPlacement(), allocation.demand(), this::guaranteedMask);
        }
        return Optional.of(allocation);
    }

    /**
     * Returns the data centres that have or had workers.
     *
     * @return the data centres, never null
     */
    public Set<DataCentreId> dataCentres() {
        return Collections.unmodifiableSet(dataCentres.keySet());
    }

    /**
     * Returns the index of free cells.
     *
     * @param dataCentre a data centre, not null
     * @return the index, never null
     */
    public CellIndex freeCells(DataCentreId dataCentre) {
        return cells(dataCentre).free;
    }

    /**
     * Returns the index of cells that are free or borrowed.
     *
     * @param dataCentre a data centre, not null
     * @return the index, never null
     */
    public CellIndex reclaimableCells(DataCentreId dataCentre) {
        return cells(dataCentre).reclaimable;
    }

    /**
     * Returns the index of all cells, including those in use and those of workers that have been
     * removed but not forgotten.
     *
     * @param dataCentre a data centre, not null
     * @return the index, never null
     */
    public CellIndex allCells(DataCentreId dataCentre) {
        return cells(dataCentre).all;
    }

    /**
     * Returns whether a demand needs no more cores and memory for each accelerator than an even
     * share of a worker's cores and memory. Guarantees count accelerators only, so they can be kept
     * only for such demands.
     *
     * @param dataCentre a data centre, not null
     * @param demand the demand, not null
     * @return true if the demand stays within the smallest share of all workers that the data
     *     centre has had
     */
    public boolean isWithinShare(DataCentreId dataCentre, Demand demand) {
        DataCentreCells cells = cells(dataCentre);
        return demand.coresEach() <= cells.coresEach && demand.memoryMbEach() <= cells.memoryMbEach;
    }

    /**
     * Returns a number that increases whenever a worker or an allocation is added or removed.
     *
     * @return the number, from 0
     */
    public long version() {
        return version;
    }

    /**
     * Returns the number of accelerators that each organisation uses, guaranteed and borrowed.
     *
     * @return the numbers by organisation, never null; an organisation that uses none may be absent
     */
    public Map<OrganisationId, Integer> usedByOrganisation() {
        return Collections.unmodifiableMap(used);
    }

    /**
     * Returns the number of accelerators that an organisation uses, guaranteed and borrowed.
     *
     * @param organisation the organisation, not null
     * @return the number, from 0
     */
    public int used(OrganisationId organisation) {
        return used.getOrDefault(organisation, 0);
    }

    /**
     * Returns the workers that are present in a data centre.
     *
     * @param dataCentre the data centre, not null
     * @return the workers, never null
     */
    public Collection<Worker> workersIn(DataCentreId dataCentre) {
        return Collections.unmodifiableCollection(cells(dataCentre).workers.values());
    }

    /**
     * Returns the number of free accelerators of a worker.
     *
     * @param worker the worker, not null
     * @return the number, 0 if the worker is not present
     */
    public int freeAcceleratorsOn(WorkerId worker) {
        return worker(worker)
                .map(found -> Long.bitCount(cells(found.dataCentre()).free.mask(worker)))
                .orElse(0);
    }

    /**
     * Hides the free cells of some workers from the index of free cells until they are restored.
     *
     * @param dataCentre the data centre of the workers, not null
     * @param withheld the workers, not null
     * @return the cells that are now hidden, never null
     */
    public List<Slice> withhold(DataCentreId dataCentre, List<WorkerId> withheld) {
        List<Slice> slices = new ArrayList<>();
        for (WorkerId worker : withheld) {
            long mask = workers.containsKey(worker) ? freeCells(dataCentre).mask(worker) : 0;
            if (mask != 0) {
                slices.add(new Slice(worker, mask));
            }
        }
        slices.forEach(slice -> freeCells(dataCentre).withhold(slice));
        return slices;
    }

    /**
     * Returns withheld cells to the index of free cells, except those that have been allocated
     * since.
     *
     * @param dataCentre the data centre of the cells, not null
     * @param withheld the cells, not null
     */
    public void restore(DataCentreId dataCentre, List<Slice> withheld) {
        withheld.forEach(
                slice -> freeCells(dataCentre).restore(slice, allocatedMask(slice.worker())));
    }

    /**
     * Returns a worker.
     *
     * @param worker the worker's identifier, not null
     * @return the worker, empty if it is not present
     */
    public Optional<Worker> worker(WorkerId worker) {
        return Optional.ofNullable(workers.get(worker));
    }

    /**
     * Returns a job's allocation.
     *
     * @param job the job, not null
     * @return the allocation, empty if the job has no cells
     */
    public Optional<Allocation> allocation(JobId job) {
        return Optional.ofNullable(allocations.get(job));
    }

    /**
     * Returns all allocations.
     *
     * @return the allocations, never null
     */
    public Collection<Allocation> allocations() {
        return Collections.unmodifiableCollection(allocations.values());
    }

    /**
     * Returns the jobs that use cells of a worker or whose guaranteed block includes some.
     *
     * @param worker the worker, not null
     * @return the jobs, never null
     */
    public Set<JobId> jobsOn(WorkerId worker) {
        return Collections.unmodifiableSet(jobsByWorker.getOrDefault(worker, Set.of()));
    }

    private static Set<WorkerId> workersOf(Allocation allocation) {
        Set<WorkerId> workers = new LinkedHashSet<>();
        allocation.placement().slices().forEach(slice -> workers.add(slice.worker()));
        allocation.block().forEach(slice -> workers.add(slice.worker()));
        return workers;
    }

    private DataCentreCells cells(Allocation allocation) {
        return cells(allocation.placement().dataCentre());
    }

    private DataCentreCells cells(DataCentreId dataCentre) {
        return dataCentres.computeIfAbsent(dataCentre, DataCentreCells::new);
    }

    /**
     * Returns the accelerators of a worker that any job uses. Two jobs may overlap in this fleet
     * until the worker has refused one of them.
     */
    private long allocatedMask(WorkerId worker) {
        return combinedMask(worker, other -> other.placement().slices());
    }

    private long guaranteedMask(WorkerId worker) {
        return combinedMask(worker, Allocation::block);
    }

    private long combinedMask(WorkerId worker, Function<Allocation, List<Slice>> slices) {
        return jobsOn(worker).stream()
                .map(allocations::get)
                .flatMap(other -> slices.apply(other).stream())
                .filter(slice -> slice.worker().equals(worker))
                .mapToLong(Slice::mask)
                .reduce(0, (left, right) -> left | right);
    }

    private static void allocateOn(DataCentreCells cells, Allocation allocation, WorkerId worker) {
        partOn(allocation, allocation.placement().slices(), worker)
                .ifPresent(part -> cells.free.allocate(part, allocation.demand()));
        partOn(allocation, allocation.block(), worker)
                .ifPresent(part -> cells.reclaimable.allocate(part, allocation.demand()));
    }

    private static Optional<Placement> partOn(
            Allocation allocation, List<Slice> slices, WorkerId worker) {
        List<Slice> onWorker =
                slices.stream().filter(slice -> slice.worker().equals(worker)).toList();
        return onWorker.isEmpty()
                ? Optional.empty()
                : Optional.of(new Placement(allocation.placement().dataCentre(), onWorker));
    }
}
