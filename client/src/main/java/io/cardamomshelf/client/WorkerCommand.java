package io.cardamomshelf.client;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.lease.GangNote;
import java.util.List;

/**
 * The bodies of the calls that a worker takes.
 *
 * <p>Immutable and thread-safe, as all its kinds are.
 */
public sealed interface WorkerCommand {

    /**
     * Holds accelerators for a member of a gang; nothing runs.
     *
     * @param job the job, not null
     * @param token the fencing token, above 0
     * @param mask the accelerators, a bit each
     * @param ttlMillis how long the hold lasts, in milliseconds
     * @param note the gang's annotation, not null
     * @param resume the checkpoint to go on from, not null, empty to begin anew
     */
    record Hold(
            JobId job, long token, long mask, long ttlMillis, GangNote note, String resume)
            implements WorkerCommand {}

    /**
     * Commits the gang on its lead member, or starts, checkpoints, or stops and releases a member.
     *
     * @param job the job, not null
     * @param token the fencing token, above 0
     * @param ttlMillis how long the lease lasts from now, in milliseconds; unused to checkpoint and
     *     stop
     */
    record Step(JobId job, long token, long ttlMillis) implements WorkerCommand {}

    /**
     * Slows a running member down for a while; then it runs at full speed again by itself.
     *
     * @param job the job, not null
     * @param token the fencing token, above 0
     * @param percent the share of its speed that is left, 0 to 100
     * @param ttlMillis how long from now, in milliseconds
     */
    record Throttle(JobId job, long token, int percent, long ttlMillis) implements WorkerCommand {}

    /**
     * Renews the leases of running members and asks for a report.
     *
     * @param since the version of the last report read; an unchanged worker answers without one
     * @param ttlMillis how long the leases last from now, in milliseconds
     * @param renewals the leases to renew, not null, may be empty
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Poll(long since, long ttlMillis, List<Renewal> renewals) implements WorkerCommand {}

    /**
     * A worker's answer to a checkpoint.
     *
     * @param checkpoint what a later hold may resume from, opaque, not null
     */
    record Checkpoint(String checkpoint) implements WorkerCommand {}

    /**
     * One lease to renew.
     *
     * @param job the job, not null
     * @param token the fencing token, above 0
     */
    record Renewal(JobId job, long token) {}
}
