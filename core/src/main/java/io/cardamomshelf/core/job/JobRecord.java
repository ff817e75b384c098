package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.base.JobId;

/**
 * A record of the log's job stream.
 *
 * <p>Use: appended by entries, folded by {@link JobTable} in offset order on every instance.
 *
 * <p>Immutable and thread-safe, as all its kinds are.
 */
public sealed interface JobRecord {

    /**
     * Returns the job that the record is about.
     *
     * @return the job, never null
     */
    JobId job();

    /**
     * A job was accepted; its owner alone may place it.
     *
     * @param job the job, not null
     * @param spec what was asked, not null
     * @param owner the accepting instance, not null
     */
    record Accepted(JobId job, JobSpec spec, InstanceId owner) implements JobRecord {}

    /**
     * Another instance takes over a job whose owner is gone; the first claim on a basis wins.
     *
     * @param job the job, not null
     * @param basedOn the offset of the record that named the owner before
     * @param owner the new owner, not null
     */
    record Claimed(JobId job, long basedOn, InstanceId owner) implements JobRecord {}

    /**
     * A job was checkpointed before it was stopped, to go on elsewhere.
     *
     * @param job the job, not null
     * @param checkpoint what its members resume from, opaque, not null
     */
    record Checkpointed(JobId job, String checkpoint) implements JobRecord {}

    /**
     * A job's caller cancelled it.
     *
     * @param job the job, not null
     */
    record Cancelled(JobId job) implements JobRecord {}

    /**
     * A job ended.
     *
     * @param job the job, not null
     * @param result how, not null
     * @param detail a short text for people, not null
     */
    record Ended(JobId job, Result result, String detail) implements JobRecord {}

    /** How a job ended. */
    enum Result {
        /** Every member ran to its end. */
        SUCCEEDED,
        /** A member failed or was lost while the gang ran. */
        FAILED,
        /** The caller cancelled it. */
        CANCELLED,
        /** It can never run. */
        REFUSED
    }
}
