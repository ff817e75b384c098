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
 * Counts how often and where jobs failed, to tell a job that fails from a worker that does.
 *
 * <p>Use: {@code failures.plus(job, workers)} each time members of its gang failed; true says that
 * the job isn't tried again.
 *
 * <p>Limits: a new owner counts anew.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class JobFailures {

    /** On how many workers a job fails until the fault is taken to be its own. */
    public static final int MAX_WORKERS = 3;

    /** How often a job fails at most, wherever it does. */
    public static final int MAX_FAILURES = 6;

    private static final class Count {
        private final Set<WorkerId> workers = new HashSet<>();
        private int failures;
    }

    private final Map<JobId, Count> counts = new HashMap<>();

    /** Creates an empty count. */
    public JobFailures() {}

    /**
     * Counts a failure.
     *
     * @param job the job, not null
     * @param workers the workers whose tasks failed, not null
     * @return true if the job has failed often enough
     */
    public boolean add(JobId job, Collection<WorkerId> workers) {
        Count count = counts.computeIfAbsent(job, any -> new Count());
        count.failures++;
        count.workers.addAll(workers);
        return count.workers.size() >= MAX_WORKERS || count.failures >= MAX_FAILURES;
    }

    /**
     * Forgets jobs.
     *
     * @param ended tells those to forget, not null
     */
    public void forget(Predicate<JobId> ended) {
        counts.keySet().removeIf(ended);
    }
}
