package io.cardamomshelf.core.lease;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.fleet.Placement;
import io.cardamomshelf.core.fleet.Slice;
import io.cardamomshelf.core.job.JobSpec;
import java.util.List;

/**
 * The annotation that every member's lease carries: enough to rebuild the job from any one of them.
 *
 * <p>Immutable and thread-safe.
 *
 * @param job the job, not null
 * @param spec what was asked, not null
 * @param placement all members; the first is the lead, not null
 * @param block the guaranteed block that the job claims, not null, empty if it borrows
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
