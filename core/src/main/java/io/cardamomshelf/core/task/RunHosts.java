package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.WorkerId;
import java.util.Collection;
import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * The workers that may have runs of a job.
 *
 * <p>Use: {@code RunHosts.of(List.of(worker))}. Before a run starts on a worker that is not yet
 * included, the extended set must be stored with the job's progress. A scheduler that takes over
 * waits only for the reports of these workers before it starts tasks of the job.
 *
 * <p>Immutable and thread-safe.
 *
 * @param anywhere whether any worker may have runs
 * @param workers the workers that may have runs, not null, empty if {@code anywhere}
 */
public record RunHosts(boolean anywhere, Set<WorkerId> workers) {

    /** No worker: no run has been ordered yet. */
    public static final RunHosts NONE = new RunHosts(false, Set.of());

    /** Any worker may have runs. */
    public static final RunHosts ANYWHERE = new RunHosts(true, Set.of());

    /** The maximum number of listed workers, which bounds the size of a stored job. */
    private static final int MAX_LISTED_WORKERS = 32;

    /**
     * Creates a set of hosts.
     *
     * @throws IllegalArgumentException if workers are listed although any worker may have runs
     */
    public RunHosts {
        if (anywhere && !workers.isEmpty()) {
            throw new IllegalArgumentException(
                    "workers listed although any worker may have runs: " + workers);
        }
        workers = Collections.unmodifiableSet(new TreeSet<>(workers));
    }

    /**
     * Creates a set of hosts.
     *
     * @param workers the workers, not null
     * @return these workers, or {@link #ANYWHERE} if they are too many to list, never null
     */
    public static RunHosts of(Collection<WorkerId> workers) {
        Set<WorkerId> distinct = new TreeSet<>(workers);
        return distinct.size() > MAX_LISTED_WORKERS ? ANYWHERE : new RunHosts(false, distinct);
    }

    /**
     * Returns whether this set includes all given workers.
     *
     * @param others the workers, not null
     * @return true if each of them may have runs
     */
    public boolean containsAll(Collection<WorkerId> others) {
        return anywhere || workers.containsAll(others);
    }

    /**
     * Returns the intersection with another set.
     *
     * @param other the other set, not null
     * @return the workers in both sets, never null
     */
    public RunHosts intersection(RunHosts other) {
        if (anywhere) {
            return other;
        }
        if (other.anywhere) {
            return this;
        }
        Set<WorkerId> shared = new TreeSet<>(workers);
        shared.retainAll(other.workers);
        return new RunHosts(false, shared);
    }
}
