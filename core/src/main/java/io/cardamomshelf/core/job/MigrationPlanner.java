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
 * Makes room for a large job by moving small borrowed ones with a checkpoint, where that is worth
 * it.
 *
 * <p>A move is worth it if what has to move is at most half of what the large job needs. What is
 * moved may have to wait, for in a full fleet cells come free one by one and only small jobs can
 * use them. A job that started lately isn't moved again, so that every job gets on.
 *
 * <p>Not thread-safe: belongs to its {@link Dispatcher}.
 */
final class MigrationPlanner {

    /** How long a job runs at least before it may be moved. */
    static final long SETTLED_MILLIS = 300_000;

    private static final int WORTH = 2;

    private record Occupied(Worker worker, int used) {}

    private final Fleet fleet;

    MigrationPlanner(Fleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Finds the workers of a data centre from which the least has to move; empty if none is worth
     * it.
     */
    Optional<Decision.Place> find(JobId id, JobSpec spec, DataCentreId site, long nowMillis) {
        Demand demand = spec.demand();
        if (demand.adjacency() == Adjacency.WORKER) {
            return Optional.empty();
        }
        Map<String, List<Occupied>> racks = new HashMap<>();
        for (Worker worker : fleet.workersIn(site)) {
            if (isMovable(worker, demand, nowMillis)) {
                int used = worker.accelerators() - fleet.freeAcceleratorsOn(worker.id());
                racks.computeIfAbsent(worker.rack(), any -> new ArrayList<>())
                        .add(new Occupied(worker, used));
            }
        }
        return racks.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .flatMap(rack -> least(rack.getValue(), demand).stream())
                .filter(chosen -> used(chosen) * WORTH <= demand.accelerators())
                .min(Comparator.comparingInt(MigrationPlanner::used))
                .map(chosen -> place(id, spec, site, chosen, nowMillis));
    }

    private boolean isMovable(Worker worker, Demand demand, long nowMillis) {
        boolean large = worker.cores() >= (long) demand.coresEach() * worker.accelerators();
        boolean roomy = worker.memoryMb() >= (long) demand.memoryMbEach() * worker.accelerators();
        return large
                && roomy
                && fleet.jobsOn(worker.id()).stream()
                        .map(job -> fleet.allocation(job).orElseThrow())
                        .allMatch(one -> isMovable(one, nowMillis));
    }

    private static boolean isMovable(Allocation one, long nowMillis) {
        return !one.guaranteed()
                && one.placement().slices().size() == 1
                && nowMillis - one.startedMillis() >= SETTLED_MILLIS;
    }

    private static Optional<List<Occupied>> least(List<Occupied> rack, Demand demand) {
        rack.sort(
                Comparator.comparingInt(Occupied::used)
                        .thenComparing(occupied -> occupied.worker().id()));
        List<Occupied> chosen = new ArrayList<>();
        int left = demand.accelerators();
        for (Occupied occupied : rack) {
            if (left > 0) {
                chosen.add(occupied);
                left -= occupied.worker().accelerators();
            }
        }
        return left > 0 ? Optional.empty() : Optional.of(chosen);
    }

    private static int used(List<Occupied> chosen) {
        return chosen.stream().mapToInt(Occupied::used).sum();
    }

    private Decision.Place place(
            JobId id, JobSpec spec, DataCentreId site, List<Occupied> chosen, long nowMillis) {
        Set<Allocation> victims = new LinkedHashSet<>();
        List<Slice> slices = new ArrayList<>();
        int left = spec.demand().accelerators();
        for (Occupied occupied : chosen) {
            WorkerId worker = occupied.worker().id();
            fleet.jobsOn(worker).forEach(job -> victims.add(fleet.allocation(job).orElseThrow()));
            int count = Math.min(left, occupied.worker().accelerators());
            slices.add(Slice.first(worker, count));
            left -= count;
        }
        Allocation made =
                new Allocation(
                        id,
                        spec.organisation(),
                        spec.demand(),
                        new Placement(site, slices),
                        List.of(),
                        nowMillis,
                        spec.estimateMillis());
        return new Decision.Place(made, new ArrayList<>(victims));
    }
}
