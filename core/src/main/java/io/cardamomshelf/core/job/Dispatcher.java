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
 * Decides a round of waiting jobs: a place for each, moves and reservations for those large or aged
 * that have none, so that neither small nor large work starves.
 *
 * <p>Use: {@code dispatcher.round(waiting, startable, now)}; what it places is allocated on the
 * books, and the victims are released from them. The caller releases a job again if its gang fails.
 *
 * <p>The jobs that are urgent, large, or have waited for half an hour are decided first: urgent
 * ones, then those of organisations that got far less than others lately, then by acceptance. They
 * take free cells, else cells that small jobs are moved from, else the workers that will be free
 * soonest are reserved for them. Then the others follow in the order of {@link JobQueue}; they take
 * reserved cells only if by their corrected run time they end before those are needed (EASY
 * backfill). Jobs of one organisation, or the same grants, and one demand and length are decided
 * once a round if the first of them has to wait.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class Dispatcher {

    /**
     * A decided job.
     *
     * @param job the job, not null
     * @param decision the decision, not null
     */
    public record Planned(JobTable.Job job, Decision decision) {}

    /** From how many accelerators a job counts as large: more than the usual worker has. */
    private static final int LARGE = 9;

    private static final int MOST_AHEAD = 16;
    private static final int MOST_RESERVATIONS = 8;
    private static final int NOTHING_LEFT = 0;

    private final CapacityState books;
    private final RunTimeEstimates estimates;
    private final MigrationPlanner mover;
    private final JobAges ages = new JobAges();
    private final RecentUse recentUse = new RecentUse();

    /**
     * Creates a dispatcher.
     *
     * @param books the books to decide on, not null
     * @param estimates the run times to trust, not null
     */
    public Dispatcher(CapacityState books, RunTimeEstimates estimates) {
        this.books = books;
        this.estimates = estimates;
        this.mover = new MigrationPlanner(books.fleet());
    }

    /**
     * Decides a round.
     *
     * @param waiting the jobs in order of acceptance, not null
     * @param startable where a task may start now, not null
     * @param nowMillis the time, in milliseconds
     * @return the decided jobs, never null; each job once
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
        private final RoundMemory memory = new RoundMemory(books, estimates);
        private final List<Reservation> reservations = new ArrayList<>();
        private final Set<WorkerId> reserved = new HashSet<>();

        Round(Predicate<DataCentreId> startable, long nowMillis) {
            this.startable = startable;
            this.nowMillis = nowMillis;
            this.placer = books.placer(startable);
        }

        List<Planned> decide(Collection<JobTable.Job> waiting) {
            ages.update(waiting, books.fleet(), nowMillis);
            recentUse.update(books, nowMillis);
            List<JobTable.Job> ordered = JobQueue.order(waiting, books);
            ordered.stream()
                    .filter(job -> books.canClaimGuarantee(job.spec()))
                    .forEach(this::decideNext);
            Set<OrganisationId> starved = recentUse.starved(waiting, books);
            waiting.stream()
                    .filter(this::isAhead)
                    .filter(job -> !planned.containsKey(job.id()))
                    .sorted(aheadOrder(starved))
                    .limit(MOST_AHEAD)
                    .forEach(this::decideAhead);
            ordered.stream()
                    .filter(job -> !planned.containsKey(job.id()))
                    .forEach(this::decideNext);
            reservations.forEach(Reservation::release);
            return List.copyOf(planned.values());
        }

        private boolean isAhead(JobTable.Job job) {
            boolean large = job.spec().demand().accelerators() >= LARGE;
            return large || job.spec().urgent() || ages.isAged(job.id(), nowMillis);
        }

        private void decideAhead(JobTable.Job job) {
            Decision decision = placer.decide(job.id(), job.spec(), nowMillis);
            if (isScarce(decision)) {
                decision = moved(job).<Decision>map(place -> place).orElse(decision);
            }
            if (isScarce(decision) && reservations.size() < MOST_RESERVATIONS) {
                Reservation.of(job.spec(), books, this::endMillis, startable, reserved, nowMillis)
                        .ifPresent(this::reserve);
            }
            plan(job, decision);
        }

        /** Moves the least of all data centres. */
        private Optional<Decision.Place> moved(JobTable.Job job) {
            return books.fleet().dataCentres().stream()
                    .filter(site -> books.config().isGranted(job.spec().organisation(), site))
                    .filter(startable)
                    .flatMap(site -> moved(job, site).stream())
                    .min(Comparator.comparingInt(Dispatcher::moved));
        }

        /** What found no room once finds none later in the round, which only takes cells. */
        private Optional<Decision.Place> moved(JobTable.Job job, DataCentreId site) {
            Demand demand = job.spec().demand();
            if (memory.isUnmovable(site, demand)) {
                return Optional.empty();
            }
            Optional<Decision.Place> place = mover.find(job.id(), job.spec(), site, nowMillis);
            if (place.isEmpty()) {
                memory.plusUnmovable(site, demand);
            }
            return place;
        }

        private void reserve(Reservation reservation) {
            reservation.hold();
            reservations.add(reservation);
            reserved.addAll(reservation.workers());
        }

        private void decideNext(JobTable.Job job) {
            Optional<Decision> known = memory.known(job.spec());
            if (known.isPresent()) {
                plan(job, known.get());
                return;
            }
            Decision decision = placer.decide(job.id(), job.spec(), nowMillis);
            if (isScarce(decision) && isEndingInTime(job.spec())) {
                reservations.forEach(Reservation::release);
                decision = placer.decide(job.id(), job.spec(), nowMillis);
                plan(job, decision);
                reservations.forEach(Reservation::hold);
            } else {
                plan(job, decision);
            }
            memory.plus(job.spec(), decision);
        }

        private void plan(JobTable.Job job, Decision decision) {
            planned.put(job.id(), new Planned(job, decision));
            if (decision instanceof Decision.Place place) {
                place.victims().forEach(victim -> books.release(victim.job()));
                books.allocate(place.allocation());
            }
        }

        private boolean isEndingInTime(JobSpec spec) {
            long needed =
                    reservations.stream()
                            .mapToLong(Reservation::neededMillis)
                            .min()
                            .orElse(NOTHING_LEFT);
            return nowMillis + estimates.correctedMillis(spec) <= needed;
        }

        /** Returns when a running job should end; one over its time is given as much again. */
        private long endMillis(Allocation running) {
            long started = running.startedMillis();
            long end =
                    started
                            + estimates.correctedMillis(
                                    running.organisation(), running.estimateMillis());
            return end > nowMillis ? end : nowMillis + Math.max(1, nowMillis - started);
        }
    }

    /**
     * Urgent jobs, then those of starved organisations, then by acceptance as the sort is stable.
     */
    private static Comparator<JobTable.Job> aheadOrder(Set<OrganisationId> starved) {
        return Comparator.<JobTable.Job, Boolean>comparing(job -> !job.spec().urgent())
                .thenComparing(job -> !starved.contains(job.spec().organisation()));
    }

    private static int moved(Decision.Place place) {
        return place.victims().stream().mapToInt(v -> v.demand().accelerators()).sum();
    }

    private static boolean isScarce(Decision decision) {
        return decision instanceof Decision.Wait wait && wait.lacksCapacity();
    }
}
