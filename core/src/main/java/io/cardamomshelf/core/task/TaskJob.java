package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;

/**
 * An accepted job.
 *
 * <p>Use: stored before the caller is told of the acceptance, and never changed after.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the caller's identifier, not null
 * @param organisation whose job it is, not null
 * @param queue the queue's policy at the acceptance, not null
 * @param acceptedMillis when it was accepted, in milliseconds since 1970
 * @param request what was asked for, not null
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
     * Returns how long the job may take to be in time, by the caller's estimates and the policy of
     * the acceptance.
     *
     * @return milliseconds from the acceptance
     */
    public long objectiveMillis() {
        return (long) (queue.slackFactor() * request.longestChainMillis()) + queue.targetMillis();
    }
}
