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
 * Finds small jobs on borrowed cells that can be checkpointed and moved elsewhere, so that a large
 * job fits on their workers.
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

    /** The least ratio of the accelerators needed by the large job to those that are moved. */
    private static final int MIN_GAIN_FACTOR = 2;

    private record Occupied(Worker worker, int used) {}

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
        Map<String, List<Occupied>> racks = new HashMap<>();
        for (Worker worker : fleet.workersIn(dataCentre)) {
            if (isMovable(worker, demand, nowMillis)) {
                int used = worker.accelerators() - fleet.freeAcceleratorsOn(worker.id());
                racks.computeIfAbsent(worker.rack(), key -> new ArrayList<>())
                        .add(new Occupied(worker, used));
            }
        }
        return racks.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .flatMap(rack -> leastUsed(rack.getValue(), demand).stream())
                .filter(chosen -> used(chosen) * MIN_GAIN_FACTOR <= demand.accelerators())
                .min(Comparator.comparingInt(MigrationPlanner::used))
                .map(chosen -> place(id, spec, dataCentre, chosen, nowMillis));
    }

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

    private static Optional<List<Occupied>> leastUsed(List<Occupied> rack, Demand demand) {
        rack.sort(
                Comparator.comparingInt(Occupied::used)
                        .thenComparing(occupied -> occupied.worker().id()));
        List<Occupied> chosen = new ArrayList<>();
        int remaining = demand.accelerators();
        for (Occupied occupied : rack) {
            if (remaining > 0) {
                chosen.add(occupied);
                remaining -= occupied.worker().accelerators();
            }
        }
        return remaining > 0 ? Optional.empty() : Optional.of(chosen);
    }

    private static int used(List<Occupied> chosen) {
        return chosen.stream().mapToInt(Occupied::used).sum();
    }

    private Decision.Place place(
            JobId id,
            JobSpec spec,
            DataCentreId dataCentre,
            List<Occupied> chosen,
            long nowMillis) {
        Set<Allocation> victims = new LinkedHashSet<>();
        List<Slice> slices = new ArrayList<>();
        int remaining = spec.demand().accelerators();
        for (Occupied occupied : chosen) {
            WorkerId worker = occupied.worker().id();
            fleet.jobsOn(worker).forEach(job -> victims.add(fleet.allocation(job).orElseThrow()));
            int count = Math.min(remaining, occupied.worker().accelerators());
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
