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
 * The workers that will be free soonest for a waiting job, kept from others for one round.
 *
 * <p>Not thread-safe: belongs to its {@link Dispatcher}.
 */
final class Reservation {

    /** Estimates when a running job ends. */
    interface Ends {
        long endMillis(Allocation running);
    }

    private record Ready(Worker worker, long millis) {}

    private final Fleet fleet;
    private final DataCentreId site;
    private final List<WorkerId> workers;
    private final long neededMillis;
    private List<Slice> held = List.of();

    private Reservation(Fleet fleet, DataCentreId site, List<WorkerId> workers, long neededMillis) {
        this.fleet = fleet;
        this.site = site;
        this.workers = workers;
        this.neededMillis = neededMillis;
    }

    /** Makes a reservation where the job can start soonest; empty if it fits nowhere at all. */
    static Optional<Reservation> of(
            JobSpec spec,
            CapacityState books,
            Ends ends,
            Predicate<DataCentreId> startable,
            Set<WorkerId> reserved,
            long nowMillis) {
        Optional<Reservation> best = Optional.empty();
        for (DataCentreId site : books.fleet().dataCentres()) {
            if (books.config().isGranted(spec.organisation(), site) && startable.test(site)) {
                Optional<Reservation> here =
                        in(site, spec.demand(), books, ends, reserved, nowMillis);
                boolean sooner =
                        here.isPresent()
                                && (best.isEmpty()
                                        || here.get().neededMillis < best.get().neededMillis);
                best = sooner ? here : best;
            }
        }
        return best;
    }

    List<WorkerId> workers() {
        return workers;
    }

    /** Returns when the reserved workers should be free, in milliseconds. */
    long neededMillis() {
        return neededMillis;
    }

    void hold() {
        held = fleet.withhold(site, workers);
    }

    void release() {
        fleet.restore(site, held);
        held = List.of();
    }

    private static Optional<Reservation> in(
            DataCentreId site,
            Demand demand,
            CapacityState books,
            Ends ends,
            Set<WorkerId> reserved,
            long nowMillis) {
        Map<String, List<Ready>> groups = new HashMap<>();
        for (Worker worker : books.fleet().workersIn(site)) {
            if (reserved.contains(worker.id())) {
                continue;
            }
            String group =
                    switch (demand.adjacency()) {
                        case WORKER -> worker.id().value();
                        case RACK -> worker.rack();
                        case DATA_CENTRE -> site.value();
                    };
            long ready = readyMillis(worker, demand, books, ends, nowMillis);
            groups.computeIfAbsent(group, any -> new ArrayList<>()).add(new Ready(worker, ready));
        }
        Optional<Reservation> best = Optional.empty();
        for (List<Ready> group : groups.values()) {
            Optional<Reservation> here = soonest(site, demand, group, books.fleet());
            boolean sooner =
                    here.isPresent()
                            && (best.isEmpty()
                                    || here.get().neededMillis < best.get().neededMillis);
            best = sooner ? here : best;
        }
        return best;
    }

    private static Optional<Reservation> soonest(
            DataCentreId site, Demand demand, List<Ready> group, Fleet fleet) {
        group.sort(
                Comparator.comparingLong(Ready::millis)
                        .thenComparing(ready -> ready.worker().id()));
        List<WorkerId> chosen = new ArrayList<>();
        int left = demand.accelerators();
        for (Ready ready : group) {
            boolean aloneTooSmall =
                    ready.worker().accelerators() < demand.accelerators()
                            && demand.adjacency() == Adjacency.WORKER;
            if (aloneTooSmall) {
                continue;
            }
            chosen.add(ready.worker().id());
            left -= ready.worker().accelerators();
            if (left <= 0) {
                return Optional.of(new Reservation(fleet, site, chosen, ready.millis()));
            }
        }
        return Optional.empty();
    }

    /** Returns when a worker has as many accelerators free as the job can use there. */
    private static long readyMillis(
            Worker worker, Demand demand, CapacityState books, Ends ends, long nowMillis) {
        int wanted = Math.min(demand.accelerators(), worker.accelerators());
        int free = books.fleet().freeAcceleratorsOn(worker.id());
        List<Allocation> running = new ArrayList<>();
        for (JobId job : books.fleet().jobsOn(worker.id())) {
            books.fleet().allocation(job).ifPresent(running::add);
        }
        running.sort(Comparator.comparingLong(one -> ends.endMillis(one)));
        long ready = nowMillis;
        for (Allocation one : running) {
            if (free >= wanted) {
                break;
            }
            free += one.acceleratorsOn(worker.id());
            ready = ends.endMillis(one);
        }
        return ready;
    }
}
