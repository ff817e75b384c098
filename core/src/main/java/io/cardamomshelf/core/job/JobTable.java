package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.base.JobId;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The jobs known from the log's job stream, folded in offset order.
 *
 * <p>Use: {@code table.fold(offset, record)} for each record. All instances that fold the same
 * records arrive at the same owner for each job.
 *
 * <p>Limits: keeps the last 4,096 ended jobs, and the last 10,000 cancellations of jobs that aren't
 * accepted.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class JobTable {

    private static final int ENDED_KEPT = 4_096;

    /**
     * The state of a job after the records folded so far.
     *
     * @param id the job, not null
     * @param spec the job's specification, not null
     * @param owner the instance that may place it, not null
     * @param ownerOffset the offset of the record that determined the owner; part of the fencing
     *     token of its leases
     * @param cancelled whether its caller cancelled it
     * @param checkpoint the checkpoint from which it resumes, not null, empty to start from the
     *     beginning
     * @param end how it ended, not null, empty until it has ended
     */
    public record Job(
            JobId id,
            JobSpec spec,
            InstanceId owner,
            long ownerOffset,
            boolean cancelled,
            String checkpoint,
            Optional<JobRecord.Ended> end) {

        private Job withOwner(InstanceId newOwner, long offset) {
            return new Job(id, spec, newOwner, offset, cancelled, checkpoint, end);
        }

        private Job withCancellation() {
            return new Job(id, spec, owner, ownerOffset, true, checkpoint, end);
        }

        private Job withCheckpoint(String latest) {
            return new Job(id, spec, owner, ownerOffset, cancelled, latest, end);
        }

        private Job withEnd(JobRecord.Ended ended) {
            return new Job(id, spec, owner, ownerOffset, cancelled, checkpoint, Optional.of(ended));
        }

        /**
         * Returns whether the job still has to run.
         *
         * @return true if it is neither ended nor cancelled
         */
        public boolean isOpen() {
            return end.isEmpty() && !cancelled;
        }
    }

    /**
     * The most cancellations that are kept for jobs that aren't accepted; later ones replace old.
     */
    static final int MAX_CANCELLED_EARLY = 10_000;

    private final Map<JobId, Job> open = new LinkedHashMap<>();
    private final Map<JobId, Job> ended = new LinkedHashMap<>();

    /** The jobs that were cancelled before they were accepted, oldest first. */
    private final Set<JobId> cancelledEarly = new LinkedHashSet<>();

    private long offset;

    /**
     * Returns the offset of the last folded record.
     *
     * @return the offset, 0 if none has been folded
     */
    public long offset() {
        return offset;
    }

    /**
     * Returns the jobs that haven't ended, including cancelled ones, in order of acceptance.
     *
     * @return the jobs, never null
     */
    public Collection<Job> open() {
        return Collections.unmodifiableCollection(open.values());
    }

    /**
     * Returns a job.
     *
     * @param id the job's id, not null
     * @return the job, empty if it is unknown
     */
    public Optional<Job> job(JobId id) {
        Job job = open.get(id);
        return Optional.ofNullable(job != null ? job : ended.get(id));
    }

    /**
     * Folds one record.
     *
     * @param recordOffset the record's offset; the record is ignored if this is not above the
     *     offset of the last one
     * @param record the record, not null
     */
    public void fold(long recordOffset, JobRecord record) {
        if (recordOffset <= offset) {
            return;
        }
        offset = recordOffset;
        if (record instanceof JobRecord.Accepted accepted) {
            accept(recordOffset, accepted);
        } else if (record instanceof JobRecord.Claimed claimed) {
            claim(recordOffset, claimed);
        } else if (record instanceof JobRecord.Cancelled cancelled) {
            cancel(cancelled.job());
        } else if (record instanceof JobRecord.Checkpointed checkpointed) {
            String latest = checkpointed.checkpoint();
            open.computeIfPresent(checkpointed.job(), (id, job) -> job.withCheckpoint(latest));
        } else if (record instanceof JobRecord.Ended end) {
            end(end);
        }
    }

    /**
     * Skips a record that can't be parsed.
     *
     * @param recordOffset the record's offset
     */
    public void skip(long recordOffset) {
        offset = Math.max(offset, recordOffset);
    }

    /**
     * Cancels a job, also if it is accepted later: the log may carry out an append after its sender
     * gave up.
     */
    private void cancel(JobId id) {
        if (job(id).isPresent()) {
            open.computeIfPresent(id, (key, job) -> job.withCancellation());
            return;
        }
        cancelledEarly.add(id);
        if (cancelledEarly.size() > MAX_CANCELLED_EARLY) {
            cancelledEarly.remove(cancelledEarly.iterator().next());
        }
    }

    private void accept(long recordOffset, JobRecord.Accepted accepted) {
        if (job(accepted.job()).isEmpty()) {
            Job job =
                    new Job(
                            accepted.job(),
                            accepted.spec(),
                            accepted.owner(),
                            recordOffset,
                            cancelledEarly.remove(accepted.job()),
                            "",
                            Optional.empty());
            open.put(job.id(), job);
        }
    }

    private void claim(long recordOffset, JobRecord.Claimed claimed) {
        open.computeIfPresent(
                claimed.job(),
                (id, job) ->
                        job.ownerOffset() == claimed.basedOn()
                                ? job.withOwner(claimed.owner(), recordOffset)
                                : job);
    }

    private void end(JobRecord.Ended end) {
        Job job = open.remove(end.job());
        if (job == null) {
            return;
        }
        ended.put(job.id(), job.withEnd(end));
        if (ended.size() > ENDED_KEPT) {
            ended.remove(ended.keySet().iterator().next());
        }
    }
}
