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
 * The workers that an instance decides for, what is allocated on them, and the indexes over both.
 *
 * <p>Use: {@code fleet.put(worker)} as workers report, {@code fleet.allocate(allocation)} when a
 * job is placed, {@code fleet.release(job)} when it ends. Each data centre has three indexes: the
 * free cells, the reclaimable ones (free or borrowed), and all of them.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class Fleet {

    private static final class Cells {
        private final CellIndex free;
        private final CellIndex reclaimable;
        private final CellIndex all;
        private final Map<WorkerId, Worker> workers = new LinkedHashMap<>();
        private int coresEach = Integer.MAX_VALUE;
        private int memoryMbEach = Integer.MAX_VALUE;

        Cells(DataCentreId dataCentre) {
            free = new CellIndex(dataCentre);
            reclaimable = new CellIndex(dataCentre);
            all = new CellIndex(dataCentre);
        }
    }

    private final Map<DataCentreId, Cells> dataCentres = new TreeMap<>();
    private final Map<WorkerId, Worker> workers = new LinkedHashMap<>();
    private final Set<WorkerId> known = new HashSet<>();
    private final Map<JobId, Allocation> allocations = new LinkedHashMap<>();
    private final Map<WorkerId, Set<JobId>> jobsByWorker = new HashMap<>();
    private final Map<OrganisationId, Integer> used = new HashMap<>();
    private long version;

    /**
     * Adds a worker; what is allocated on it already stays so.
     *
     * @param worker the worker, not null
     * @return true if it was not there
     */
    public boolean put(Worker worker) {
        if (workers.putIfAbsent(worker.id(), worker) != null) {
            return false;
        }
        version++;
        Cells cells = dataCentres.computeIfAbsent(worker.dataCentre(), Cells::new);
        cells.coresEach = Math.min(cells.coresEach, worker.cores() / worker.accelerators());
        cells.memoryMbEach =
                Math.min(cells.memoryMbEach, worker.memoryMb() / worker.accelerators());
        cells.free.put(worker);
        cells.reclaimable.put(worker);
        if (known.add(worker.id())) {
            cells.all.put(worker);
        }
        cells.workers.put(worker.id(), worker);
        for (JobId job : jobsOn(worker.id())) {
            takeOn(cells, allocations.get(job), worker.id());
        }
        return true;
    }

    /**
     * Removes a worker that may come back; the allocations on it stay until they are released, and
     * what could run on it one day is still asked of the index of all cells.
     *
     * @param worker the worker, not null
     * @return true if it was there
     */
    public boolean remove(WorkerId worker) {
        Worker removed = workers.remove(worker);
        if (removed == null) {
            return false;
        }
        version++;
        Cells cells = dataCentres.get(removed.dataCentre());
        cells.free.remove(worker);
        cells.reclaimable.remove(worker);
        cells.workers.remove(worker);
        return true;
    }

    /**
     * Forgets a removed worker for good.
     *
     * @param worker the worker, not null
     * @param dataCentre where it was, not null
     */
    public void forget(WorkerId worker, DataCentreId dataCentre) {
        remove(worker);
        if (known.remove(worker)) {
            cells(dataCentre).all.remove(worker);
        }
    }

    /**
     * Allocates a job's cells.
     *
     * @param allocation the job and its cells, not null; a job that has cells is left as it is
     */
    public void allocate(Allocation allocation) {
        if (allocations.putIfAbsent(allocation.job(), allocation) != null) {
            return;
        }
        version++;
        used.merge(allocation.organisation(), allocation.demand().accelerators(), Integer::sum);
        Cells cells = cells(allocation);
        cells.free.take(allocation.placement(), allocation.demand());
        if (allocation.guaranteed()) {
            cells.reclaimable.take(allocation.blockPlacement(), allocation.demand());
        }
        for (WorkerId worker : workersOf(allocation)) {
            jobsByWorker
                    .computeIfAbsent(worker, any -> new LinkedHashSet<>())
                    .add(allocation.job());
        }
    }

    /**
     * Releases a job's cells.
     *
     * @param job the job, not null
     * @return what was released, empty if the job had no cells
     */
    public Optional<Allocation> release(JobId job) {
        Allocation allocation = allocations.remove(job);
        if (allocation == null) {
            return Optional.empty();
        }
        version++;
        used.merge(allocation.organisation(), -allocation.demand().accelerators(), Integer::sum);
        workersOf(allocation).forEach(worker -> jobsByWorker.get(worker).remove(job));
        Cells cells = cells(allocation);
        cells.free.give(allocation.placement(), allocation.demand(), this::heldOn);
        if (allocation.guaranteed()) {
            cells.reclaimable.give(allocation.blockPlacement(), allocation.demand(), this::blocksOn);
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
     * Returns the index of all cells, as if nothing ran and every worker that is away were back.
     *
     * @param dataCentre a data centre, not null
     * @return the index, never null
     */
    public CellIndex allCells(DataCentreId dataCentre) {
        return cells(dataCentre).all;
    }

    /**
     * Asks whether a demand stays within an accelerator's even share of a worker's cores and
     * memory, so that a guarantee which counts accelerators only can be kept for it.
     *
     * @param dataCentre a data centre, not null
     * @param demand the demand, not null
     * @return true if it does
     */
    public boolean isWithinShare(DataCentreId dataCentre, Demand demand) {
        Cells cells = cells(dataCentre);
        return demand.coresEach() <= cells.coresEach && demand.memoryMbEach() <= cells.memoryMbEach;
    }

    /**
     * Returns a number that rises with each worker or allocation that comes or goes.
     *
     * @return the number, from 0
     */
    public long version() {
        return version;
    }

    /**
     * Returns the accelerators that each organisation uses, guaranteed and borrowed.
     *
     * @return the numbers by organisation, never null; one that uses none may be absent
     */
    public Map<OrganisationId, Integer> usedByOrganisation() {
        return Collections.unmodifiableMap(used);
    }

    /**
     * Returns the accelerators that an organisation uses, guaranteed and borrowed.
     *
     * @param organisation the organisation, not null
     * @return the number, from 0
     */
    public int used(OrganisationId organisation) {
        return used.getOrDefault(organisation, 0);
    }

    /**
     * Returns the workers of a data centre.
     *
     * @param dataCentre the data centre, not null
     * @return the workers that are there now, never null
     */
    public Collection<Worker> workersIn(DataCentreId dataCentre) {
        return Collections.unmodifiableCollection(cells(dataCentre).workers.values());
    }

    /**
     * Returns how many accelerators of a worker are free.
     *
     * @param worker the worker, not null
     * @return the number, 0 if the worker isn't there
     */
    public int freeAcceleratorsOn(WorkerId worker) {
        return worker(worker)
                .map(known -> Long.bitCount(cells(known.dataCentre()).free.mask(worker)))
                .orElse(0);
    }

    /**
     * Takes the free cells of some workers out of the index of free cells, until they are restored.
     *
     * @param dataCentre where the workers are, not null
     * @param withheld the workers, not null
     * @return the cells that were withheld, never null
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
     * Gives withheld cells back, but for those that a job has been given meanwhile.
     *
     * @param dataCentre where the workers are, not null
     * @param withheld the cells, not null
     */
    public void restore(DataCentreId dataCentre, List<Slice> withheld) {
        withheld.forEach(slice -> freeCells(dataCentre).restore(slice, heldOn(slice.worker())));
    }

    /**
     * Returns a worker.
     *
     * @param worker the worker's id, not null
     * @return the worker, empty if it is not there
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
     * Returns the jobs that have cells, or a part of their guaranteed block, on a worker.
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

    private Cells cells(Allocation allocation) {
        return cells(allocation.placement().dataCentre());
    }

    private Cells cells(DataCentreId dataCentre) {
        return dataCentres.computeIfAbsent(dataCentre, Cells::new);
    }

    /** Two owners may hold overlapping cells on the books until a worker has refused one. */
    private long heldOn(WorkerId worker) {
        return masksOn(worker, other -> other.placement().slices());
    }

    private long blocksOn(WorkerId worker) {
        return masksOn(worker, Allocation::block);
    }

    private long masksOn(WorkerId worker, Function<Allocation, List<Slice>> cells) {
        return jobsOn(worker).stream()
                .map(allocations::get)
                .flatMap(other -> cells.apply(other).stream())
                .filter(slice -> slice.worker().equals(worker))
                .mapToLong(Slice::mask)
                .reduce(0, (left, right) -> left | right);
    }

    private static void takeOn(Cells cells, Allocation allocation, WorkerId worker) {
        part(allocation, allocation.placement().slices(), worker)
                .ifPresent(part -> cells.free.take(part, allocation.demand()));
        part(allocation, allocation.block(), worker)
                .ifPresent(part -> cells.reclaimable.take(part, allocation.demand()));
    }

    private static Optional<Placement> part(
            Allocation allocation, List<Slice> slices, WorkerId worker) {
        List<Slice> there = slices.stream().filter(slice -> slice.worker().equals(worker)).toList();
        return there.isEmpty()
                ? Optional.empty()
                : Optional.of(new Placement(allocation.placement().dataCentre(), there));
    }
}
