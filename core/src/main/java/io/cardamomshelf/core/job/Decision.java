package io.cardamomshelf.core.job;

import io.cardamomshelf.core.fleet.Allocation;
import java.util.List;

/**
 * What to do with a queued job now.
 *
 * <p>Immutable and thread-safe, as all its kinds are.
 */
public sealed interface Decision {

    /**
     * Place the job, after the victims have made room.
     *
     * @param allocation the job's cells, not null
     * @param victims the borrowed jobs to stop first, not null, often empty
     */
    record Place(Allocation allocation, List<Allocation> victims) implements Decision {}

    /**
     * Leave the job in the queue.
     *
     * @param why the reason, for people, not null
     * @param scarce whether it waits for cells that others use
     */
    record Wait(String reason, boolean lacksCapacity) implements Decision {}

    /**
     * Refuse the job, for it can never run.
     *
     * @param why the binding reason, for people, not null
     */
    record Refuse(String reason) implements Decision {}
}
