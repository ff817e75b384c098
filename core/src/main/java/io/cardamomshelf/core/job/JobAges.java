package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.fleet.Fleet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Records when each waiting or running job was first seen, so that a job that has waited long gets
 * priority. The age of a running job is kept, in case it is evicted and waits again.
 *
 * <p>Limits: after a takeover, the new owner counts from the takeover, because the log contains no
 * times.
 *
 * <p>Not thread-safe: belongs to its {@link Dispatcher}.
 */
final class JobAges {

    /** The age from which a job is a priority job of the {@link Dispatcher}, in milliseconds. */
    static final long AGED_MILLIS = 1_800_000;

    private final Map<JobId, Long> firstSeenMillis = new HashMap<>();

    /** Adds new waiting jobs and removes jobs that neither wait nor run. */
    void update(Collection<JobTable.Job> waiting, Fleet fleet, long nowMillis) {
        Set<JobId> waitingIds = new HashSet<>();
        for (JobTable.Job job : waiting) {
            waitingIds.add(job.id());
            firstSeenMillis.putIfAbsent(job.id(), nowMillis);
        }
        firstSeenMillis
                .keySet()
                .removeIf(id -> !waitingIds.contains(id) && fleet.allocation(id).isEmpty());
    }

    /** Returns whether a job is old enough to be a priority job. */
    boolean isAged(JobId job, long nowMillis) {
        return nowMillis - firstSeenMillis.getOrDefault(job, nowMillis) >= AGED_MILLIS;
    }
}
