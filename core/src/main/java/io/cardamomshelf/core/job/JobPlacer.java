package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.config.Grant;
import io.cardamomshelf.core.config.Plan;
import io.cardamomshelf.core.fleet.Allocation;
import io.cardamomshelf.core.fleet.Demand;
import io.cardamomshelf.core.fleet.Fleet;
import io.cardamomshelf.core.fleet.Placement;
import io.cardamomshelf.core.fleet.Slice;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides where a job runs: on a guaranteed block of its organisation, else on borrowed cells.
 *
 * <p>Use: {@code placer.decide(id, spec, now)}; the caller then allocates, or not.
 *
 * <p>A claim takes free cells if the unclaimed shapes still pack afterwards, else cells by the
 * buddy rule with the borrowed jobs on them as victims. Borrowed jobs take free cells only.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class JobPlacer {

    private final ConfigState config;
    private final Fleet fleet;
    private final Guarantees guarantees;
    private final Predicate<DataCentreId> startable;

    /**
     * Creates a placer.
     *
     * @param config the lists in force, not null
     * @param fleet the cells, not null
     * @param guarantees the claims, not null
     * @param startable where a task may start now by what is known of the configuration, not null
     */
    public JobPlacer(
            ConfigState config,
            Fleet fleet,
            Guarantees guarantees,
            Predicate<DataCentreId> startable) {
        this.config = config;
        this.fleet = fleet;
        this.guarantees = guarantees;
        this.startable = startable;
    }

    /**
     * Decides for one job.
     *
     * @param id the job, not null
     * @param spec what it asks, not null
     * @param nowMillis the time, in milliseconds
     * @return the decision, never null; nothing is allocated
     */
    public Decision decide(JobId id, JobSpec spec, long nowMillis) {
        Optional<String> never = refusalReason(spec);
        if (never.isPresent()) {
            return new Decision.Refuse(never.get());
        }
        int quota = config.plan(spec.organisation()).map(Plan::quota).orElse(0);
        int used = fleet.used(spec.organisation());
        if (used + spec.demand().accelerators() > quota) {
            return new Decision.Wait(
                    "quota: " + used + " of " + quota + " accelerators in use", false);
        }
        List<DataCentreId> where =
                fleet.dataCentres().stream()
                        .filter(site -> config.isGranted(spec.organisation(), site))
                        .filter(startable)
                        .toList();
        if (where.isEmpty()) {
            return new Decision.Wait("no granted data centre may start work now", false);
        }
        return claim(id, spec, where, nowMillis)
                .or(() -> borrow(id, spec, where, nowMillis))
                .orElseGet(() -> new Decision.Wait(scarcity(spec, where), true));
    }

    /**
     * Says why a job can never run, by its plan, its grant and all workers known.
     *
     * @param spec what the job asks, not null
     * @return the binding reason, empty if it may run one day
     */
    public Optional<String> refusalReason(JobSpec spec) {
        Optional<Plan> plan = config.plan(spec.organisation());
        Optional<Grant> grant = config.grant(spec.organisation());
        if (plan.isEmpty() || grant.isEmpty()) {
            return Optional.of("organisation " + spec.organisation() + " has no plan or no grant");
        }
        Demand demand = spec.demand();
        if (demand.accelerators() > plan.get().quota()) {
            return Optional.of(
                    "accelerators: "
                            + demand.accelerators()
                            + " exceed the quota of "
                            + plan.get().quota());
        }
        boolean fits =
                fleet.dataCentres().stream()
                        .filter(grant.get().dataCentres()::contains)
                        .anyMatch(site -> fleet.allCells(site).find(demand).isPresent());
        return fits
                ? Optional.empty()
                : Optional.of(
                        "no granted data centre has "
                                + demand.accelerators()
                                + " accelerators with adjacency "
                                + demand.adjacency());
    }

    private Optional<Decision> claim(
            JobId id, JobSpec spec, List<DataCentreId> where, long nowMillis) {
        for (DataCentreId site : where) {
            boolean claimable =
                    guarantees.canClaim(spec.organisation(), site, spec.demand().level())
                            && fleet.isWithinShare(site, spec.demand());
            if (claimable) {
                Optional<Decision> decision =
                        fleet.freeCells(site)
                                .findBlock(spec.demand())
                                .filter(fleet.reclaimableCells(site)::isAvailable)
                                .map(block -> claim(id, spec, block, nowMillis))
                                .filter(this::isKeepingGuarantees)
                                .<Decision>map(made -> new Decision.Place(made, List.of()))
                                .or(() -> reclaim(id, spec, site, nowMillis));
                if (decision.isPresent()) {
                    return decision;
                }
            }
        }
        return Optional.empty();
    }

    private Optional<Decision> reclaim(JobId id, JobSpec spec, DataCentreId site, long nowMillis) {
        return fleet.reclaimableCells(site)
                .findBlock(spec.demand())
                .map(block -> claim(id, spec, block, nowMillis))
                .map(made -> new Decision.Place(made, victims(made.placement())));
    }

    private Optional<Decision> borrow(
            JobId id, JobSpec spec, List<DataCentreId> where, long nowMillis) {
        // The fullest data centre first, so that the others keep their large cells.
        List<DataCentreId> fullestFirst = new ArrayList<>(where);
        fullestFirst.sort(
                Comparator.comparingLong(site -> fleet.freeCells(site).freeAccelerators()));
        for (DataCentreId site : fullestFirst) {
            Optional<Placement> cells = fleet.freeCells(site).find(spec.demand());
            if (cells.isPresent()) {
                Allocation made = allocation(id, spec, cells.get(), List.of(), nowMillis);
                return Optional.of(new Decision.Place(made, List.of()));
            }
        }
        return Optional.empty();
    }

    /** The whole block is charged to the claim, so that it is whole again when the job ends. */
    private static Allocation claim(JobId id, JobSpec spec, Placement block, long nowMillis) {
        Placement used = block.limitedTo(spec.demand().accelerators());
        return allocation(id, spec, used, block.slices(), nowMillis);
    }

    private static Allocation allocation(
            JobId id, JobSpec spec, Placement cells, List<Slice> block, long nowMillis) {
        return new Allocation(
                id,
                spec.organisation(),
                spec.demand(),
                cells,
                block,
                nowMillis,
                spec.estimateMillis());
    }

    /** Tries the allocation on the books and takes it back. */
    private boolean isKeepingGuarantees(Allocation made) {
        DataCentreId site = made.placement().dataCentre();
        boolean before = guarantees.allFit(site, fleet);
        fleet.allocate(made);
        guarantees.plus(made);
        boolean after = guarantees.allFit(site, fleet);
        guarantees.minus(made);
        fleet.release(made.job());
        return after || !before;
    }

    private List<Allocation> victims(Placement cells) {
        Set<Allocation> victims = new LinkedHashSet<>();
        for (Slice slice : cells.slices()) {
            for (JobId job : fleet.jobsOn(slice.worker())) {
                Allocation other = fleet.allocation(job).orElseThrow();
                boolean overlaps =
                        other.placement().slices().stream().anyMatch(slice::isOverlapping);
                if (overlaps && !other.guaranteed()) {
                    victims.add(other);
                }
            }
        }
        return new ArrayList<>(victims);
    }

    private String scarcity(JobSpec spec, List<DataCentreId> where) {
        long free =
                where.stream().mapToLong(site -> fleet.freeCells(site).freeAccelerators()).sum();
        return free < spec.demand().accelerators()
                ? "only " + free + " accelerators are free"
                : free + " accelerators are free, but no adjacent block holds the job";
    }
}
