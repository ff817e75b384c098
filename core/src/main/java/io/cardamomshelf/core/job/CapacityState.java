package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.fleet.Allocation;
import io.cardamomshelf.core.fleet.Fleet;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The fleet and the guarantees of the configuration in force, kept consistent with each other.
 *
 * <p>Use: {@code capacity.reconfigure(state)} when another configuration takes effect, {@code
 * allocate} and {@code release} as jobs start and end, and {@code placer(startable)} to decide
 * where a job runs. Workers are added and removed through {@code fleet()}, but callers change
 * allocations only through this class, because the fleet doesn't update the guarantees.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class CapacityState {

    private final Fleet fleet = new Fleet();
    private ConfigState config = ConfigState.EMPTY;
    private Guarantees guarantees = new Guarantees(config, fleet);

    /** Creates a state without workers and with an empty configuration. */
    public CapacityState() {}

    /**
     * Returns the fleet.
     *
     * @return the fleet, never null
     */
    public Fleet fleet() {
        return fleet;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, never null
     */
    public ConfigState config() {
        return config;
    }

    /**
     * Replaces the configuration in force.
     *
     * @param state the configuration, not null
     */
    public void reconfigure(ConfigState state) {
        config = state;
        guarantees = new Guarantees(state, fleet);
    }

    /**
     * Allocates a job's cells and, if the allocation is guaranteed, claims a guaranteed block.
     *
     * @param allocation the allocation, not null; ignored if the job already has cells
     */
    public void allocate(Allocation allocation) {
        if (fleet.allocation(allocation.job()).isEmpty()) {
            fleet.allocate(allocation);
            guarantees.add(allocation);
        }
    }

    /**
     * Releases a job's cells and the guaranteed block that it claims.
     *
     * @param job the job, not null
     * @return the released allocation, empty if the job had no cells
     */
    public Optional<Allocation> release(JobId job) {
        Optional<Allocation> released = fleet.release(job);
        released.ifPresent(guarantees::remove);
        return released;
    }

    /**
     * Returns whether all unclaimed guaranteed blocks of a data centre fit at the same time.
     *
     * @param dataCentre the data centre, not null
     * @return true if all fit once borrowed work has been evicted
     */
    public boolean guaranteesFit(DataCentreId dataCentre) {
        return guarantees.allFit(dataCentre, fleet);
    }

    /**
     * Returns whether a job fits an unclaimed guaranteed block of its organisation.
     *
     * @param spec the job's specification, not null
     * @return true if such a block is guaranteed in a data centre that is granted
     */
    public boolean canClaimGuarantee(JobSpec spec) {
        return fleet.dataCentres().stream()
                .filter(dataCentre -> config.isGranted(spec.organisation(), dataCentre))
                .anyMatch(
                        dataCentre ->
                                guarantees.canClaim(
                                        spec.organisation(), dataCentre, spec.demand().level()));
    }

    /**
     * Returns a placer that decides on this state.
     *
     * @param startable accepts the data centres where a task may start now, not null
     * @return the placer, never null
     */
    public JobPlacer placer(Predicate<DataCentreId> startable) {
        return new JobPlacer(config, fleet, guarantees, startable);
    }
}
