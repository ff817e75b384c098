package io.cardamomshelf.client;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.lease.GangNote;
import java.util.List;

/**
 * The JSON bodies of the calls to a worker and of its answer to a checkpoint command.
 *
 * <p>Immutable and thread-safe, as are all its implementations.
 */
public sealed interface WorkerCommand {

    /**
     * Holds accelerators for a member of a gang, without starting it.
     *
     * @param job the job, not null
     * @param token the fencing token, above 0
     * @param mask the accelerators, one bit each
     * @param ttlMillis how long the hold lasts, in milliseconds
     * @param note the gang's annotation, not null
     * @param resume the checkpoint to resume from, not null, empty to start from the beginning
     */
    record Hold(JobId job, long token, long mask, long ttlMillis, GangNote note, String resume)
            implements WorkerCommand {}

    /**
     * Commits a gang on its lead member, or starts, checkpoints, or stops and releases a member.
     * The path of the call states which.
     *
     * @param job the job, not null
     * @param token the fencing token, above 0
     * @param ttlMillis how long the lease lasts from now, in milliseconds; not used by checkpoint
     *     and stop
     */
    record Step(JobId job, long token, long ttlMillis) implements WorkerCommand {}

    /**
     * Slows a running member down for a limited time, after which it runs at full speed again.
     *
     * @param job the job, not null
     * @param token the fencing token, above 0
     * @param percent the share of its full speed, 0 to 100
     * @param ttlMillis how long the throttling lasts from now, in milliseconds
     */
    record Throttle(JobId job, long token, int percent, long ttlMillis) implements WorkerCommand {}

    /**
     * Renews the leases of running members and requests a report.
     *
     * @param since the version of the last report read; the worker answers without a report if
     *     nothing has changed since
     * @param ttlMillis how long the leases last from now, in milliseconds
     * @param renewals the leases to renew, not null, may be empty
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Poll(long since, long ttlMillis, List<Renewal> renewals) implements WorkerCommand {}

    /**
     * A worker's answer to a checkpoint command.
     *
     * @param checkpoint the opaque checkpoint, from which a later hold may resume, not null
     */
    record Checkpoint(String checkpoint) implements WorkerCommand {}

    /**
     * A lease to renew.
     *
     * @param job the job, not null
     * @param token the fencing token, above 0
     */
    record Renewal(JobId job, long token) {}
}
