package io.cardamomshelf.core.fleet;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import java.util.List;

/**
 * The cells that a job occupies, and the guaranteed block that it uses, if any. A job without one
 * borrows capacity that may be reclaimed for a guarantee.
 *
 * <p>Immutable and thread-safe.
 *
 * @param job the job, not null
 * @param organisation the organisation that the job belongs to, not null
 * @param demand the resources that the job needs, not null
 * @param placement the cells of the job, not null
 * @param block the whole guaranteed block that the job claims, not null, empty if the job borrows;
 *     the job may use only a part of the block
 * @param startedMillis the time of the placement, in milliseconds
 * @param estimateMillis the declared run time, in milliseconds
 */
public record Allocation(
        JobId job,
        OrganisationId organisation,
        Demand demand,
        Placement placement,
        List<Slice> block,
        long startedMillis,
        long estimateMillis) {

    /**
     * Creates an allocation.
     *
     * @throws IllegalArgumentException if a value is missing
     */
    public Allocation {
        Checks.notNull("job", job);
        Checks.notNull("organisation", organisation);
        Checks.notNull("demand", demand);
        Checks.notNull("placement", placement);
        block = List.copyOf(Checks.notNull("block", block));
    }

    /**
     * Returns whether the job claims a guaranteed block.
     *
     * @return true if it does, false if it borrows
     */
    public boolean guaranteed() {
        return !block.isEmpty();
    }

    /**
     * Returns the number of accelerators that the job uses on a worker.
     *
     * @param worker the worker, not null
     * @return the number, 0 if none
     */
    public int acceleratorsOn(WorkerId worker) {
        return placement.slices().stream()
                .filter(slice -> slice.worker().equals(worker))
                .mapToInt(Slice::accelerators)
                .sum();
    }

    /**
     * Returns the whole guaranteed block as a placement.
     *
     * @return the block's cells, never null
     * @throws IllegalArgumentException if the job borrows
     */
    public Placement blockPlacement() {
        return new Placement(placement.dataCentre(), block);
    }

    /**
     * Returns the work that is lost if the job is stopped now without a checkpoint.
     *
     * @param nowMillis the time, in milliseconds
     * @return the work, in accelerator-milliseconds
     */
    public long lostWork(long nowMillis) {
        return (nowMillis - startedMillis) * demand.accelerators();
    }
}
