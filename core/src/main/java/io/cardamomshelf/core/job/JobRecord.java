package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.base.JobId;

/**
 * A record of the log's job stream.
 *
 * <p>Use: entries append the records; {@link JobTable} folds them in offset order on every
 * instance.
 *
 * <p>Immutable and thread-safe, including all implementations.
 */
public sealed interface JobRecord {

    /**
     * Returns the job that the record is about.
     *
     * @return the job, never null
     */
    JobId job();

    /**
     * A job was accepted. Only its owner may place it.
     *
     * @param job the job, not null
     * @param spec the job's specification, not null
     * @param owner the accepting instance, not null
     */
    record Accepted(JobId job, JobSpec spec, InstanceId owner) implements JobRecord {}

    /**
     * Another instance takes over a job whose owner is gone. Of several claims based on the same
     * record, the first one in the log wins.
     *
     * @param job the job, not null
     * @param basedOn the offset of the record that determined the previous owner
     * @param owner the new owner, not null
     */
    record Claimed(JobId job, long basedOn, InstanceId owner) implements JobRecord {}

    /**
     * A job was checkpointed before it was stopped, so that it can resume on other workers.
     *
     * @param job the job, not null
     * @param checkpoint the opaque checkpoint from which its members resume, not null
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
     * @param result how it ended, not null
     * @param detail a short human-readable text, not null
     */
    record Ended(JobId job, Result result, String detail) implements JobRecord {}

    /** How a job ended. */
    enum Result {
        /** Every member completed. */
        SUCCEEDED,
        /** A member failed or was lost while the gang was running. */
        FAILED,
        /** The caller cancelled the job. */
        CANCELLED,
        /** The job can never run. */
        REFUSED
    }
}
