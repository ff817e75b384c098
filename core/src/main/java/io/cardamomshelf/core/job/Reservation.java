package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.fleet.Adjacency;
import io.cardamomshelf.core.fleet.Allocation;
import io.cardamomshelf.core.fleet.Demand;
import io.cardamomshelf.core.fleet.Fleet;
import io.cardamomshelf.core.fleet.Slice;
import io.cardamomshelf.core.fleet.Worker;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The workers that are expected to be free first for a waiting job, withheld from other jobs for
 * one scheduling round.
 *
 * <p>Not thread-safe: belongs to its {@link Dispatcher}.
 */
final class Reservation {

    /** Estimates when a running job ends. */
    interface EndEstimator {
        long endMillis(Allocation running);
    }

    private record ReadyWorker(Worker worker, long readyMillis) {}

    private final Fleet fleet;
    private final DataCentreId dataCentre;
    private final List<WorkerId> workers;
    private final long expectedStartMillis;
    private List<Slice> withheld = List.of();

    private Reservation(
            Fleet fleet,
            DataCentreId dataCentre,
            List<WorkerId> workers,
            long expectedStartMillis) {
        this.fleet = fleet;
        this.dataCentre = dataCentre;
        this.workers = workers;
        this.expectedStartMillis = expectedStartMillis;
    }

    /**
     * Returns the reservation with the earliest expected start; empty if the job fits nowhere.
     *
     * @param reserved the workers of earlier reservations, which are not reserved again
     */
    static Optional<Reservation> earliest(
            JobSpec spec,
            CapacityState capacity,
            EndEstimator endEstimator,
            Predicate<DataCentreId> startable,
            Set<WorkerId> reserved,
            long nowMillis) {
        Optional<Reservation> best = Optional.empty();
        for (DataCentreId dataCentre : capacity.fleet().dataCentres()) {
            if (capacity.config().isGranted(spec.organisation(), dataCentre)
                    && startable.test(dataCentre)) {
                Optional<Reservation> candidate =
                        earliestInDataCentre(
                                dataCentre,
                                spec.demand(),
                                capacity,
                                endEstimator,
                                reserved,
                                nowMillis);
                boolean earlier =
                        candidate.isPresent()
                                && (best.isEmpty()
                                        || candidate.get().expectedStartMillis
                                                < best.get().expectedStartMillis);
                best = earlier ? candidate : best;
            }
        }
        return best;
    }

    List<WorkerId> workers() {
        return workers;
    }

    /** Returns when the reserved workers are expected to be free, in milliseconds. */
    long expectedStartMillis() {
        return expectedStartMillis;
    }

    /** Withholds the free cells of the workers from other jobs. */
    void withhold() {
        withheld = fleet.withhold(dataCentre, workers);
    }

    /** Makes the withheld cells available again. */
    void restore() {
        fleet.restore(dataCentre, withheld);
        withheld = List.of();
    }

    private static Optional<Reservation> earliestInDataCentre(
            DataCentreId dataCentre,
            Demand demand,
            CapacityState capacity,
            EndEstimator endEstimator,
            Set<WorkerId> reserved,
            long nowMillis) {
        Map<String, List<ReadyWorker>> groups = new HashMap<>();
        for (Worker worker : capacity.fleet().workersIn(dataCentre)) {
            if (reserved.contains(worker.id())) {
                continue;
            }
            String group =
                    switch (demand.adjacency()) {
                        case WORKER -> worker.id().value();
                        case RACK -> worker.rack();
                        case DATA_CENTRE -> dataCentre.value();
                    };
            long ready = readyMillis(worker, demand, capacity, endEstimator, nowMillis);
            groups.computeIfAbsent(group, key -> new ArrayList<>())
                    .add(new ReadyWorker(worker, ready));
        }
        Optional<Reservation> best = Optional.empty();
        for (List<ReadyWorker> group : groups.values()) {
            Optional<Reservation> candidate =
                    earliestInGroup(dataCentre, demand, group, capacity.fleet());
            boolean earlier =
                    candidate.isPresent()
                            && (best.isEmpty()
                                    || candidate.get().expectedStartMillis
                                            < best.get().expectedStartMillis);
            best = earlier ? candidate : best;
        }
        return best;
    }

    private static Optional<Reservation> earliestInGroup(
            DataCentreId dataCentre, Demand demand, List<ReadyWorker> group, Fleet fleet) {
        group.sort(
                Comparator.comparingLong(ReadyWorker::readyMillis)
                        .thenComparing(ready -> ready.worker().id()));
        List<WorkerId> chosen = new ArrayList<>();
        int remaining = demand.accelerators();
        for (ReadyWorker ready : group) {
            boolean tooSmall =
                    ready.worker().accelerators() < demand.accelerators()
                            && demand.adjacency() == Adjacency.WORKER;
            if (tooSmall) {
                continue;
            }
            chosen.add(ready.worker().id());
            remaining -= ready.worker().accelerators();
            if (remaining <= 0) {
                return Optional.of(new Reservation(fleet, dataCentre, chosen, ready.readyMillis()));
            }
        }
        return Optional.empty();
    }

    /** Returns when a worker is expected to have as many free accelerators as the job can use. */
    private static long readyMillis(
            Worker worker,
            Demand demand,
            CapacityState capacity,
            EndEstimator endEstimator,
            long nowMillis) {
        int needed = Math.min(demand.accelerators(), worker.accelerators());
        int free = capacity.fleet().freeAcceleratorsOn(worker.id());
        List<Allocation> running = new ArrayList<>();
        for (JobId job : capacity.fleet().jobsOn(worker.id())) {
            capacity.fleet().allocation(job).ifPresent(running::add);
        }
        running.sort(Comparator.comparingLong(allocation -> endEstimator.endMillis(allocation)));
        long ready = nowMillis;
        for (Allocation allocation : running) {
            if (free >= needed) {
                break;
            }
            free += allocation.acceleratorsOn(worker.id());
            ready = endEstimator.endMillis(allocation);
        }
        return ready;
    }
}
