package io.cardamomshelf.core.fleet;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import java.util.List;

/**
 * A job's cells while it holds them, and whether they count towards a guarantee.
 *
 * <p>Immutable and thread-safe.
 *
 * @param job the job, not null
 * @param organisation whose job it is, not null
 * @param demand what it needs, not null
 * @param placement its cells, not null
 * @param block the whole guaranteed block that it claims, of which it may use a part, not null,
 *     empty if it borrows
 * @param startedMillis when it was placed, in milliseconds
 * @param estimateMillis its declared run time, in milliseconds
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
     * Asks whether the job claims a guaranteed block.
     *
     * @return true if it does, false if it borrows
     */
    public boolean guaranteed() {
        return !block.isEmpty();
    }

    /**
     * Returns how many accelerators the job uses on a worker.
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
     * Returns the whole guaranteed block as cells.
     *
     * @return the cells, never null
     * @throws IllegalArgumentException if the job borrows
     */
    public Placement blockPlacement() {
        return new Placement(placement.dataCentre(), block);
    }

    /**
     * Returns the work that is lost if the job is stopped now without a checkpoint.
     *
     * @param nowMillis the time, in milliseconds
     * @return accelerator-milliseconds
     */
    public long lostWork(long nowMillis) {
        return (nowMillis - startedMillis) * demand.accelerators();
    }
}
