package io.cardamomshelf.core.job;

import io.cardamomshelf.core.fleet.Allocation;
import java.util.List;

/**
 * What a scheduling round does with a waiting job.
 *
 * <p>Immutable and thread-safe, including all implementations.
 */
public sealed interface Decision {

    /**
     * Place the job, after the victims have been stopped.
     *
     * @param allocation the job's cells, not null
     * @param victims the jobs on borrowed cells to stop first, not null, often empty
     */
    record Place(Allocation allocation, List<Allocation> victims) implements Decision {}

    /**
     * Leave the job in the queue.
     *
     * @param why the reason as human-readable text, not null
     * @param scarce true if the job waits for cells that other jobs use, false if its quota or the
     *     configuration keeps it from starting
     */
    record Wait(String reason, boolean lacksCapacity) implements Decision {}

    /**
     * Refuse the job because it can never run.
     *
     * @param why the requirement that cannot be met, as human-readable text, not null
     */
    record Refuse(String reason) implements Decision {}
}
