package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Counts how often and on which workers each job failed, to distinguish a faulty job from a faulty
 * worker.
 *
 * <p>Use: the entry instance's job runner calls {@code failures.add(job, workers)} each time
 * members of the job's gang failed. If it returns true, the job must not be tried again.
 *
 * <p>Limits: the counts are not stored; a new owner of a job starts from zero.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class JobFailures {

    /** The number of different workers with failures at which a job counts as faulty. */
    public static final int MAX_WORKERS = 3;

    /** The number of failures, on any workers, at which a job is not tried again. */
    public static final int MAX_FAILURES = 6;

    private static final class FailureCount {
        private final Set<WorkerId> workers = new HashSet<>();
        private int failures;
    }

    private final Map<JobId, FailureCount> counts = new HashMap<>();

    /** Creates counts without failures. */
    public JobFailures() {}

    /**
     * Counts a failure of a job.
     *
     * @param job the job, not null
     * @param workers the workers whose tasks failed, not null
     * @return true if the job must not be tried again
     */
    public boolean add(JobId job, Collection<WorkerId> workers) {
        FailureCount count = counts.computeIfAbsent(job, key -> new FailureCount());
        count.failures++;
        count.workers.addAll(workers);
        return count.workers.size() >= MAX_WORKERS || count.failures >= MAX_FAILURES;
    }

    /**
     * Removes the counts of jobs.
     *
     * @param ended accepts the jobs to remove, not null
     */
    public void forget(Predicate<JobId> ended) {
        counts.keySet().removeIf(ended);
    }
}
