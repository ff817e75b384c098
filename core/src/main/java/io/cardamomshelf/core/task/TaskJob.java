package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;

/**
 * An accepted job.
 *
 * <p>Use: stored before the caller receives the acceptance, and never changed afterwards.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the caller's identifier, not null
 * @param organisation the organisation that owns the job, not null
 * @param queue the queue's policy at the acceptance, not null
 * @param acceptedMillis when it was accepted, in milliseconds since 1970
 * @param request the caller's request, not null
 */
public record TaskJob(
        JobId id,
        OrganisationId organisation,
        QueuePolicy queue,
        long acceptedMillis,
        JobRequest request) {

    /**
     * Creates a job.
     *
     * @throws IllegalArgumentException if a value is missing
     */
    public TaskJob {
        Checks.notNull("id", id);
        Checks.notNull("organisation", organisation);
        Checks.notNull("queue", queue);
        Checks.notNull("request", request);
    }

    /**
     * Returns the job's time objective, by the caller's estimates and the policy at the acceptance.
     *
     * @return milliseconds from the acceptance
     */
    public long objectiveMillis() {
        return (long) (queue.slackFactor() * request.longestChainMillis()) + queue.targetMillis();
    }
}
