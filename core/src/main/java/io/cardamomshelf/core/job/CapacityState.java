package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.fleet.Allocation;
import io.cardamomshelf.core.fleet.Fleet;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The fleet and the guarantees under one configuration, kept in step with each other.
 *
 * <p>Use: {@code books.reconfigure(state)} when another configuration is in force, {@code allocate}
 * and {@code release} as jobs come and go, and {@code placer(startable)} to decide.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class CapacityState {

    private final Fleet fleet = new Fleet();
    private ConfigState config = ConfigState.EMPTY;
    private Guarantees guarantees = new Guarantees(config, fleet);

    /** Creates books without workers under an empty configuration. */
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
     * Returns the configuration.
     *
     * @return the configuration, never null
     */
    public ConfigState config() {
        return config;
    }

    /**
     * Puts another configuration in force.
     *
     * @param state the configuration, not null
     */
    public void reconfigure(ConfigState state) {
        config = state;
        guarantees = new Guarantees(state, fleet);
    }

    /**
     * Allocates a job's cells and counts its claim.
     *
     * @param allocation the allocation, not null; a job that has cells is left as it is
     */
    public void allocate(Allocation allocation) {
        if (fleet.allocation(allocation.job()).isEmpty()) {
            fleet.allocate(allocation);
            guarantees.plus(allocation);
        }
    }

    /**
     * Releases a job's cells and its claim.
     *
     * @param job the job, not null
     * @return what was released, empty if the job had no cells
     */
    public Optional<Allocation> release(JobId job) {
        Optional<Allocation> released = fleet.release(job);
        released.ifPresent(guarantees::minus);
        return released;
    }

    /**
     * Asks whether every unclaimed shape of a data centre packs.
     *
     * @param dataCentre the data centre, not null
     * @return true if all pack
     */
    public boolean guaranteesFit(DataCentreId dataCentre) {
        return guarantees.allFit(dataCentre, fleet);
    }

    /**
     * Asks whether a job fits an unclaimed guaranteed block of its organisation.
     *
     * @param spec what the job asks, not null
     * @return true if some data centre promises such a block
     */
    public boolean canClaimGuarantee(JobSpec spec) {
        return fleet.dataCentres().stream()
                .filter(site -> config.isGranted(spec.organisation(), site))
                .anyMatch(
                        site ->
                                guarantees.canClaim(
                                        spec.organisation(), site, spec.demand().level()));
    }

    /**
     * Returns a placer on these books.
     *
     * @param startable where a task may start now, not null
     * @return the placer, never null
     */
    public JobPlacer placer(Predicate<DataCentreId> startable) {
        return new JobPlacer(config, fleet, guarantees, startable);
    }
}
