package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.fleet.Allocation;
import io.cardamomshelf.core.fleet.Demand;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Runs scheduling rounds: decides for each waiting job whether and where it starts, and keeps both
 * small and large jobs from starving.
 *
 * <p>Use: the entry instance's job runner calls {@code dispatcher.round(waiting, startable, now)}.
 * The cells of placed jobs are allocated in the {@link CapacityState}, and those of their victims
 * are released. The caller releases a job again if its gang fails to start.
 *
 * <p>Jobs that can claim a guaranteed block are decided first. Priority jobs follow: those that are
 * urgent, large, or have waited for half an hour. Among them, urgent jobs come first, then those of
 * organisations that recently used far less than others, then the remaining ones in order of
 * acceptance. A priority job takes free cells, or else cells from which small jobs are moved, or
 * else the workers that will be free first are reserved for it. The other jobs follow in the order
 * of {@link JobQueue}. They take reserved cells only if, by their corrected run time, they end
 * before the reservation starts (EASY backfill). If a job is not placed, later jobs of the round
 * with the same demand, a similar run time and the same organisation or granted data centres get
 * the same decision.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class Dispatcher {

    /**
     * A job with the decision of a round.
     *
     * @param job the job, not null
     * @param decision the decision, not null
     */
    public record Planned(JobTable.Job job, Decision decision) {}

    /** The smallest large job, in accelerators: more than a typical worker has. */
    private static final int LARGE_ACCELERATORS = 9;

    /** The limit per round; further priority jobs are decided like the other jobs. */
    private static final int MAX_PRIORITY_JOBS = 16;

    private static final int MAX_RESERVATIONS = 8;

    /** The start that is assumed if nothing is reserved; no job ends before it. */
    private static final int NO_RESERVATION_MILLIS = 0;

    private final CapacityState capacity;
    private final RunTimeEstimates estimates;
    private final MigrationPlanner migrationPlanner;
    private final JobAges jobAges = new JobAges();
    private final RecentUse recentUse = new RecentUse();

    /**
     * Creates a dispatcher.
     *
     * @param capacity the fleet and guarantees to decide on, not null
     * @param estimates the corrected run times, not null
     */
    public Dispatcher(CapacityState capacity, RunTimeEstimates estimates) {
        this.capacity = capacity;
        this.estimates = estimates;
        this.migrationPlanner = new MigrationPlanner(capacity.fleet());
    }

    /**
     * Decides all waiting jobs once.
     *
     * @param waiting the jobs in order of acceptance, not null
     * @param startable accepts the data centres where a task may start now, not null
     * @param nowMillis the time, in milliseconds
     * @return the jobs with their decisions, never null; each job once
     */
    public List<Planned> round(
            Collection<JobTable.Job> waiting, Predicate<DataCentreId> startable, long nowMillis) {
        return new Round(startable, nowMillis).decide(waiting);
    }

    /** The state of one round. */
    private final class Round {
        private final Predicate<DataCentreId> startable;
        private final long nowMillis;
        private final JobPlacer placer;
        private final Map<JobId, Planned> planned = new LinkedHashMap<>();
        private final RoundCache cache = new RoundCache(capacity, estimates);
        private final List<Reservation> reservations = new ArrayList<>();
        private final Set<WorkerId> reservedWorkers = new HashSet<>();

        Round(Predicate<DataCentreId> startable, long nowMillis) {
            this.startable = startable;
            this.nowMillis = nowMillis;
            this.placer = capacity.placer(startable);
        }

        List<Planned> decide(Collection<JobTable.Job> waiting) {
            jobAges.update(waiting, capacity.fleet(), nowMillis);
            recentUse.update(capacity, nowMillis);
            List<JobTable.Job> ordered = JobQueue.order(waiting, capacity);
            ordered.stream()
                    .filter(job -> capacity.canClaimGuarantee(job.spec()))
                    .forEach(this::decideJob);
            Set<OrganisationId> starved = recentUse.starved(waiting, capacity);
            waiting.stream()
                    .filter(this::hasPriority)
                    .filter(job -> !planned.containsKey(job.id()))
                    .sorted(priorityOrder(starved))
                    .limit(MAX_PRIORITY_JOBS)
                    .forEach(this::decidePriorityJob);
            ordered.stream().filter(job -> !planned.containsKey(job.id())).forEach(this::decideJob);
            reservations.forEach(Reservation::restore);
            return List.copyOf(planned.values());
        }

        private boolean hasPriority(JobTable.Job job) {
            boolean large = job.spec().demand().accelerators() >= LARGE_ACCELERATORS;
            return large || job.spec().urgent() || jobAges.isAged(job.id(), nowMillis);
        }

        private void decidePriorityJob(JobTable.Job job) {
            Decision decision = placer.decide(job.id(), job.spec(), nowMillis);
            if (lacksCapacity(decision)) {
                decision = findMigration(job).<Decision>map(place -> place).orElse(decision);
            }
            if (lacksCapacity(decision) && reservations.size() < MAX_RESERVATIONS) {
                Reservation.earliest(
                                job.spec(),
                                capacity,
                                this::endMillis,
                                startable,
                                reservedWorkers,
                                nowMillis)
                        .ifPresent(this::reserve);
            }
            apply(job, decision);
        }

        /** Returns the migration that moves the fewest accelerators over all data centres. */
        private Optional<Decision.Place> findMigration(JobTable.Job job) {
            return capacity.fleet().dataCentres().stream()
                    .filter(
                            dataCentre ->
                                    capacity.config()
                                            .isGranted(job.spec().organisation(), dataCentre))
                    .filter(startable)
                    .flatMap(dataCentre -> findMigration(job, dataCentre).stream())
                    .min(Comparator.comparingInt(Dispatcher::movedAccelerators));
        }

        /**
         * Returns the migration that frees workers for a job in a data centre. If there is none,
         * the demand is not searched for again in this round, because a round mostly allocates
         * cells.
         */
        private Optional<Decision.Place> findMigration(JobTable.Job job, DataCentreId dataCentre) {
            Demand demand = job.spec().demand();
            if (cache.hasNoMigration(dataCentre, demand)) {
                return Optional.empty();
            }
            Optional<Decision.Place> place =
                    migrationPlanner.find(job.id(), job.spec(), dataCentre, nowMillis);
            if (place.isEmpty()) {
                cache.addNoMigration(dataCentre, demand);
            }
            return place;
        }

        private void reserve(Reservation reservation) {
            reservation.withhold();
            reservations.add(reservation);
            reservedWorkers.addAll(reservation.workers());
        }

        /** Decides a job; if it ends before all reservations start, it may use reserved cells. */
        private void decideJob(JobTable.Job job) {
            Optional<Decision> cached = cache.cached(job.spec());
            if (cached.isPresent()) {
                apply(job, cached.get());
                return;
            }
            Decision decision = placer.decide(job.id(), job.spec(), nowMillis);
            if (lacksCapacity(decision) && endsBeforeReservations(job.spec())) {
                reservations.forEach(Reservation::restore);
                decision = placer.decide(job.id(), job.spec(), nowMillis);
                apply(job, decision);
                reservations.forEach(Reservation::withhold);
            } else {
                apply(job, decision);
            }
            cache.add(job.spec(), decision);
        }

        private void apply(JobTable.Job job, Decision decision) {
            planned.put(job.id(), new Planned(job, decision));
            if (decision instanceof Decision.Place place) {
                place.victims().forEach(victim -> capacity.release(victim.job()));
                capacity.allocate(place.allocation());
            }
        }

        private boolean endsBeforeReservations(JobSpec spec) {
            long earliestStart =
                    reservations.stream()
                            .mapToLong(Reservation::expectedStartMillis)
                            .min()
                            .orElse(NO_RESERVATION_MILLIS);
            return nowMillis + estimates.correctedMillis(spec) <= earliestStart;
        }

        /**
         * Returns when a running job is expected to end. A job that has run longer than estimated
         * is expected to run for as long again as it has run so far.
         */
        private long endMillis(Allocation running) {
            long start = running.startedMillis();
            long end =
                    start
                            + estimates.correctedMillis(
                                    running.organisation(), running.estimateMillis());
            return end > nowMillis ? end : nowMillis + Math.max(1, nowMillis - start);
        }
    }

    /**
     * Orders urgent jobs first, then those of starved organisations. The sort is stable, so equal
     * jobs stay in order of acceptance.
     */
    private static Comparator<JobTable.Job> priorityOrder(Set<OrganisationId> starved) {
        return Comparator.<JobTable.Job, Boolean>comparing(job -> !job.spec().urgent())
                .thenComparing(job -> !starved.contains(job.spec().organisation()));
    }

    private static int movedAccelerators(Decision.Place place) {
        return place.victims().stream().mapToInt(victim -> victim.demand().accelerators()).sum();
    }

    private static boolean lacksCapacity(Decision decision) {
        return decision instanceof Decision.Wait wait && wait.lacksCapacity();
    }
}
