package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.fleet.Fleet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Remembers since when each job that waits or runs has been known, so that old ones go first.
 *
 * <p>Limits: a new owner counts from its takeover, for the log keeps no times.
 *
 * <p>Not thread-safe: belongs to its {@link Dispatcher}.
 */
final class JobAges {

    /** How long a job may be overtaken by jobs that were accepted after it. */
    static final long AGED_MILLIS = 1_800_000;

    private final Map<JobId, Long> since = new HashMap<>();

    /** Learns of the jobs that wait and forgets those that neither wait nor run. */
    void update(Collection<JobTable.Job> waiting, Fleet fleet, long nowMillis) {
        Set<JobId> known = new HashSet<>();
        for (JobTable.Job job : waiting) {
            known.add(job.id());
            since.putIfAbsent(job.id(), nowMillis);
        }
        since.keySet().removeIf(id -> !known.contains(id) && fleet.allocation(id).isEmpty());
    }

    /** Asks whether a job is so old that none accepted after it goes ahead of it. */
    boolean isAged(JobId job, long nowMillis) {
        return nowMillis - since.getOrDefault(job, nowMillis) >= AGED_MILLIS;
    }
}
