package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.WorkerId;
import java.util.Collection;
import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * The workers on which runs of a job may be.
 *
 * <p>Use: {@code RunHosts.of(List.of(worker))}. It is stored with a job's progress before a run
 * starts on a worker that it doesn't have yet, so that a later scheduler needn't wait for others.
 *
 * <p>Immutable and thread-safe.
 *
 * @param anywhere whether they may be on any worker
 * @param workers the workers otherwise, not null, empty if {@code anywhere}
 */
public record RunHosts(boolean anywhere, Set<WorkerId> workers) {

    /** No run has ever been ordered. */
    public static final RunHosts NONE = new RunHosts(false, Set.of());

    /** Runs may be on any worker. */
    public static final RunHosts ANYWHERE = new RunHosts(true, Set.of());

    /** More workers aren't named one by one; it bounds what is stored of a job. */
    private static final int MOST_NAMED = 32;

    /**
     * Creates a set of hosts.
     *
     * @throws IllegalArgumentException if workers are named although it is any of them
     */
    public RunHosts {
        if (anywhere && !workers.isEmpty()) {
            throw new IllegalArgumentException("anywhere, but names " + workers);
        }
        workers = Collections.unmodifiableSet(new TreeSet<>(workers));
    }

    /**
     * Makes hosts of workers.
     *
     * @param workers the workers, not null
     * @return these workers, or anywhere if they are too many to be named, never null
     */
    public static RunHosts of(Collection<WorkerId> workers) {
        Set<WorkerId> distinct = new TreeSet<>(workers);
        return distinct.size() > MOST_NAMED ? ANYWHERE : new RunHosts(false, distinct);
    }

    /**
     * Asks whether all of some workers are among these.
     *
     * @param others the workers, not null
     * @return true if a run may be on any of them
     */
    public boolean containsAll(Collection<WorkerId> others) {
        return anywhere || workers.containsAll(others);
    }

    /**
     * Returns the workers that are in both sets.
     *
     * @param other the other set, not null
     * @return the common ones, never null
     */
    public RunHosts intersection(RunHosts other) {
        if (anywhere) {
            return other;
        }
        if (other.anywhere) {
            return this;
        }
        Set<WorkerId> both = new TreeSet<>(workers);
        both.retainAll(other.workers);
        return new RunHosts(false, both);
    }
}
