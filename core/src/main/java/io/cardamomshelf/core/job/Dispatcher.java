package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.fleet.Allocation;
import io.cardamomshelf.core.fleet.Demand;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides a round of waiting jobs: the order, a place for each, and a reservation for the first
 * that has none, so that small work can't starve a large job.
 *
 * <p>Use: {@code dispatcher.round(waiting, startable, now)}; what it places is allocated on the
 * books, and the victims are released from them. The caller releases a job again if its gang fails.
 *
 * <p>The reservation keeps the workers that will be free soonest for the first waiting job; a later
 * job takes their cells only if by its corrected run time it ends before they are needed (EASY
 * backfill). Jobs of one organisation and demand are decided once a round if the first of them has
 * to wait.
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

    private record Kind(OrganisationId organisation, Demand demand, long estimateClass) {}

    private final Books books;
    private final Estimates estimates;

    /**
     * Creates a dispatcher.
     *
     * @param books the books to decide on, not null
     * @param estimates the run times to trust, not null
     */
    public Dispatcher(Books books, Estimates estimates) {
        this.books = books;
        this.estimates = estimates;
    }

    /**
     * Decides a round.
     *
     * @param waiting the jobs in order of acceptance, not null
     * @param startable where a task may start now, not null
     * @param nowMillis the time, in milliseconds
     * @return the decided jobs in the order of their turn, never null; each job once
     */
    public List<Planned> round(
            Collection<JobTable.Job> waiting, Predicate<DataCentreId> startable, long nowMillis) {
        List<Planned> planned = new ArrayList<>();
        Set<Kind> hopeless = new HashSet<>();
        Optional<Reservation> reservation = Optional.empty();
        Placer placer = books.placer(startable);
        for (JobTable.Job job : JobQueue.order(waiting, books)) {
            Kind kind = kind(job.spec());
            if (hopeless.contains(kind)) {
                planned.add(new Planned(job, new Decision.Wait("as others of its kind", true)));
                continue;
            }
            Decision decision = decide(placer, job, reservation, nowMillis);
            planned.add(new Planned(job, decision));
            if (decision instanceof Decision.Place place) {
                enter(place);
            } else {
                hopeless.add(kind);
            }
            boolean scarce = decision instanceof Decision.Wait wait && wait.scarce();
            if (scarce && reservation.isEmpty()) {
                reservation =
                        Reservation.of(job.spec(), books, this::endMillis, startable, nowMillis);
                reservation.ifPresent(Reservation::hold);
            }
        }
        reservation.ifPresent(Reservation::release);
        return planned;
    }

    private Decision decide(
            Placer placer, JobTable.Job job, Optional<Reservation> reservation, long nowMillis) {
        Decision decision = placer.decide(job.id(), job.spec(), nowMillis);
        boolean fillsIn =
                decision instanceof Decision.Wait wait
                        && wait.scarce()
                        && reservation.isPresent()
                        && nowMillis + estimates.corrected(job.spec())
                                <= reservation.get().neededMillis();
        if (!fillsIn) {
            return decision;
        }
        reservation.get().release();
        Decision again = placer.decide(job.id(), job.spec(), nowMillis);
        if (again instanceof Decision.Place place) {
            enter(place);
        }
        reservation.get().hold();
        return again;
    }

    private void enter(Decision.Place place) {
        place.victims().forEach(victim -> books.release(victim.job()));
        books.allocate(place.allocation());
    }

    /** Returns when a running job should end; one that is over its time is given as much again. */
    private long endMillis(Allocation running, long nowMillis) {
        long time = estimates.corrected(running.organisation(), running.estimateMillis());
        long end = running.startedMillis() + time;
        return end > nowMillis ? end : nowMillis + Math.max(1, nowMillis - running.startedMillis());
    }

    private Kind kind(JobSpec spec) {
        long estimateClass = Long.numberOfLeadingZeros(estimates.corrected(spec));
        return new Kind(spec.organisation(), spec.demand(), estimateClass);
    }
}
