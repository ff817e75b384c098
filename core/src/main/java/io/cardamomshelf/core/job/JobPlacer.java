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
 * Decides where a job runs: on a guaranteed block of its organisation, or else on borrowed cells,
 * which can be taken back for a claim of a guaranteed block.
 *
 * <p>Use: {@code placer.decide(id, spec, now)}. The caller allocates the cells if it accepts the
 * decision. The placer itself leaves the fleet and the guarantees unchanged: an allocation that it
 * makes to check the guarantees is released before it returns.
 *
 * <p>A claim of a guaranteed block takes a free block if all unclaimed blocks still fit afterwards.
 * Otherwise it takes a block of a buddy allocation over the free and borrowed cells, and the jobs
 * on borrowed cells of that block become victims. Other jobs take free cells only.
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
     * @param config the configuration in force, not null
     * @param fleet the fleet with the cells, not null
     * @param guarantees the guaranteed and claimed blocks, not null
     * @param startable accepts the data centres where a task may start now under the known
     *     configuration, not null
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
     * Decides whether and where one job runs.
     *
     * @param id the job, not null
     * @param spec the job's specification, not null
     * @param nowMillis the time, in milliseconds
     * @return the decision, never null
     */
    public Decision decide(JobId id, JobSpec spec, long nowMillis) {
        Optional<String> refusal = refusalReason(spec);
        if (refusal.isPresent()) {
            return new Decision.Refuse(refusal.get());
        }
        int quota = config.plan(spec.organisation()).map(Plan::quota).orElse(0);
        int used = fleet.used(spec.organisation());
        if (used + spec.demand().accelerators() > quota) {
            return new Decision.Wait(
                    "quota: " + used + " of " + quota + " accelerators in use", false);
        }
        List<DataCentreId> dataCentres =
                fleet.dataCentres().stream()
                        .filter(dataCentre -> config.isGranted(spec.organisation(), dataCentre))
                        .filter(startable)
                        .toList();
        if (dataCentres.isEmpty()) {
            return new Decision.Wait("no granted data centre may start work now", false);
        }
        return claim(id, spec, dataCentres, nowMillis)
                .or(() -> borrow(id, spec, dataCentres, nowMillis))
                .orElseGet(() -> new Decision.Wait(waitReason(spec, dataCentres), true));
    }

    /**
     * Returns why a job can never run with its organisation's plan and grant and all known workers,
     * including those that are unreachable now.
     *
     * @param spec the job's specification, not null
     * @return the requirement that cannot be met, empty if the job may run now or later
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
                        .anyMatch(
                                dataCentre -> fleet.allCells(dataCentre).find(demand).isPresent());
        return fits
                ? Optional.empty()
                : Optional.of(
                        "no granted data centre has "
                                + demand.accelerators()
                                + " accelerators with adjacency "
                                + demand.adjacency());
    }

    private Optional<Decision> claim(
            JobId id, JobSpec spec, List<DataCentreId> dataCentres, long nowMillis) {
        for (DataCentreId dataCentre : dataCentres) {
            boolean canClaim =
                    guarantees.canClaim(spec.organisation(), dataCentre, spec.demand().level())
                            && fleet.isWithinShare(dataCentre, spec.demand());
            if (canClaim) {
                Optional<Decision> decision =
                        fleet.freeCells(dataCentre)
                                .findBlock(spec.demand())
                                .filter(fleet.reclaimableCells(dataCentre)::isAvailable)
                                .map(block -> claim(id, spec, block, nowMillis))
                                .filter(this::keepsGuarantees)
                                .<Decision>map(
                                        allocation -> new Decision.Place(allocation, List.of()))
                                .or(() -> reclaim(id, spec, dataCentre, nowMillis));
                if (decision.isPresent()) {
                    return decision;
                }
            }
        }
        return Optional.empty();
    }

    private Optional<Decision> reclaim(
            JobId id, JobSpec spec, DataCentreId dataCentre, long nowMillis) {
        return fleet.reclaimableCells(dataCentre)
                .findBlock(spec.demand())
                .map(block -> claim(id, spec, block, nowMillis))
                .map(allocation -> new Decision.Place(allocation, victims(allocation.placement())));
    }

    private Optional<Decision> borrow(
            JobId id, JobSpec spec, List<DataCentreId> dataCentres, long nowMillis) {
        // The fullest data centre first, so that the others keep their large free blocks.
        List<DataCentreId> fullestFirst = new ArrayList<>(dataCentres);
        fullestFirst.sort(
                Comparator.comparingLong(
                        dataCentre -> fleet.freeCells(dataCentre).freeAccelerators()));
        for (DataCentreId dataCentre : fullestFirst) {
            Optional<Placement> cells = fleet.freeCells(dataCentre).find(spec.demand());
            if (cells.isPresent()) {
                Allocation allocation = allocation(id, spec, cells.get(), List.of(), nowMillis);
                return Optional.of(new Decision.Place(allocation, List.of()));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the allocation of a guaranteed block. The whole block counts as claimed even if the
     * job uses a part of it, so that the block is free as a whole when the job ends.
     */
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

    /**
     * Returns whether the unclaimed blocks still fit after an allocation, or did not fit before it
     * either. Makes the allocation and releases it again.
     */
    private boolean keepsGuarantees(Allocation allocation) {
        DataCentreId dataCentre = allocation.placement().dataCentre();
        boolean fitsBefore = guarantees.allFit(dataCentre, fleet);
        fleet.allocate(allocation);
        guarantees.add(allocation);
        boolean fitsAfter = guarantees.allFit(dataCentre, fleet);
        guarantees.remove(allocation);
        fleet.release(allocation.job());
        return fitsAfter || !fitsBefore;
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

    private String waitReason(JobSpec spec, List<DataCentreId> dataCentres) {
        long free =
                dataCentres.stream()
                        .mapToLong(dataCentre -> fleet.freeCells(dataCentre).freeAccelerators())
                        .sum();
        return free < spec.demand().accelerators()
                ? "only " + free + " accelerators are free"
                : free + " accelerators are free, but no adjacent block holds the job";
    }
}
