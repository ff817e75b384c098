package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.fleet.Adjacency;
import io.cardamomshelf.core.fleet.Allocation;
import io.cardamomshelf.core.fleet.Demand;
import io.cardamomshelf.core.fleet.Fleet;
import io.cardamomshelf.core.fleet.Placement;
import io.cardamomshelf.core.fleet.Slice;
import io.cardamomshelf.core.fleet.Worker;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds jobs on borrowed cells of a single worker that can be checkpointed and moved elsewhere, so
 * that a large job fits on their workers.
 *
 * <p>A migration is worthwhile if the jobs to move use at most half the accelerators that the large
 * job needs. The moved jobs may have to wait: in a full fleet cells become free one by one, and
 * only small jobs can use them. A job that started recently isn't moved, so that every job makes
 * progress.
 *
 * <p>Not thread-safe: belongs to its {@link Dispatcher}.
 */
final class MigrationPlanner {

    /** The shortest run time after which a job may be moved, in milliseconds. */
    static final long MIN_RUN_MILLIS = 300_000;

    /** The least ratio of the accelerators that the large job needs to those of the moved jobs. */
    private static final int MIN_GAIN_FACTOR = 2;

    /** A worker with the number of its accelerators that jobs use. */
    private record WorkerUse(Worker worker, int used) {}

    private final Fleet fleet;

    MigrationPlanner(Fleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Finds the migration in a data centre that moves the fewest accelerators; empty if none is
     * worthwhile.
     */
    Optional<Decision.Place> find(JobId id, JobSpec spec, DataCentreId dataCentre, long nowMillis) {
        Demand demand = spec.demand();
        if (demand.adjacency() == Adjacency.WORKER) {
            return Optional.empty();
        }
        Map<String, List<WorkerUse>> racks = new HashMap<>();
        for (Worker worker : fleet.workersIn(dataCentre)) {
            if (isMovable(worker, demand, nowMillis)) {
                int used = worker.accelerators() - fleet.freeAcceleratorsOn(worker.id());
                racks.computeIfAbsent(worker.rack(), key -> new ArrayList<>())
                        .add(new WorkerUse(worker, used));
            }
        }
        return racks.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .flatMap(rack -> chooseLeastUsed(rack.getValue(), demand).stream())
                .filter(
                        chosen ->
                                usedAccelerators(chosen) * MIN_GAIN_FACTOR <= demand.accelerators())
                .min(Comparator.comparingInt(MigrationPlanner::usedAccelerators))
                .map(chosen -> place(id, spec, dataCentre, chosen, nowMillis));
    }

    /** Returns whether a worker suits the large job and can be freed by moving all its jobs. */
    private boolean isMovable(Worker worker, Demand demand, long nowMillis) {
        boolean enoughCores = worker.cores() >= (long) demand.coresEach() * worker.accelerators();
        boolean enoughMemory =
                worker.memoryMb() >= (long) demand.memoryMbEach() * worker.accelerators();
        return enoughCores
                && enoughMemory
                && fleet.jobsOn(worker.id()).stream()
                        .map(job -> fleet.allocation(job).orElseThrow())
                        .allMatch(allocation -> isMovable(allocation, nowMillis));
    }

    private static boolean isMovable(Allocation allocation, long nowMillis) {
        return !allocation.guaranteed()
                && allocation.placement().slices().size() == 1
                && nowMillis - allocation.startedMillis() >= MIN_RUN_MILLIS;
    }

    /** Chooses enough workers of a rack for the demand; empty if the rack is too small. */
    private static Optional<List<WorkerUse>> chooseLeastUsed(List<WorkerUse> rack, Demand demand) {
        rack.sort(
                Comparator.comparingInt(WorkerUse::used)
                        .thenComparing(candidate -> candidate.worker().id()));
        List<WorkerUse> chosen = new ArrayList<>();
        int remaining = demand.accelerators();
        for (WorkerUse candidate : rack) {
            if (remaining > 0) {
                chosen.add(candidate);
                remaining -= candidate.worker().accelerators();
            }
        }
        return remaining > 0 ? Optional.empty() : Optional.of(chosen);
    }

    private static int usedAccelerators(List<WorkerUse> chosen) {
        return chosen.stream().mapToInt(WorkerUse::used).sum();
    }

    private Decision.Place place(
            JobId id,
            JobSpec spec,
            DataCentreId dataCentre,
            List<WorkerUse> chosen,
            long nowMillis) {
        Set<Allocation> victims = new LinkedHashSet<>();
        List<Slice> slices = new ArrayList<>();
        int remaining = spec.demand().accelerators();
        for (WorkerUse use : chosen) {
            WorkerId worker = use.worker().id();
            fleet.jobsOn(worker).forEach(job -> victims.add(fleet.allocation(job).orElseThrow()));
            int count = Math.min(remaining, use.worker().accelerators());
            slices.add(Slice.first(worker, count));
            remaining -= count;
        }
        Allocation allocation =
                new Allocation(
                        id,
                        spec.organisation(),
                        spec.demand(),
                        new Placement(dataCentre, slices),
                        List.of(),
                        nowMillis,
                        spec.estimateMillis());
        return new Decision.Place(allocation, new ArrayList<>(victims));
    }
}
