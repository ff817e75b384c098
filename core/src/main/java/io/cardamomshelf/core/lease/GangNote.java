package io.cardamomshelf.core.lease;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.fleet.Placement;
import io.cardamomshelf.core.fleet.Slice;
import io.cardamomshelf.core.job.JobSpec;
import java.util.List;

/**
 * The annotation on the lease of each member of a gang. Any one of them is enough to restore the
 * job after its owner is lost.
 *
 * <p>Immutable and thread-safe.
 *
 * @param job the job, not null
 * @param spec what the caller requested, not null
 * @param placement the slices of all members, not null; the first is the lead
 * @param block the guaranteed block that the job claims, not null, empty if the job borrows
 *     capacity
 */
public record GangNote(JobId job, JobSpec spec, Placement placement, List<Slice> block) {

    /**
     * Creates an annotation.
     *
     * @throws IllegalArgumentException if a value is missing
     */
    public GangNote {
        Checks.notNull("job", job);
        Checks.notNull("spec", spec);
        Checks.notNull("placement", placement);
        block = List.copyOf(Checks.notNull("block", block));
    }
}
