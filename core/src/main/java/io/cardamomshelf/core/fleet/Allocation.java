package io.cardamomshelf.core.fleet;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;

/**
 * A job's cells while it holds them, and whether they count towards a guarantee.
 *
 * <p>Immutable and thread-safe.
 *
 * @param job the job, not null
 * @param organisation whose job it is, not null
 * @param demand what it needs, not null
 * @param placement its cells, not null
 * @param guaranteed true if it claims a guaranteed block, false if it borrows
 * @param startedMillis when it was placed, in milliseconds
 */
public record Allocation(
        JobId job,
        OrganisationId organisation,
        Demand demand,
        Placement placement,
        boolean guaranteed,
        long startedMillis) {

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
