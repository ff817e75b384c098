package io.cardamomshelf.core.fleet;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.lease.Lease;
import io.cardamomshelf.core.lease.LeaseState;
import io.cardamomshelf.core.request.Breaker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tells the workers that fail what they start, so that they get no new tasks but a probe.
 *
 * <p>Use: {@code health.update(worker, leases, workers, now)} at each report, then {@code
 * isQuarantined(worker, now)}. Two tasks in a row that failed put a worker in quarantine for a
 * minute; then it may be chosen again, and one more failure doubles the time. A task that ended
 * well clears it.
 *
 * <p>Limits: a job that has failed on one worker counts against no other, so that a job that fails
 * everywhere empties no fleet; at most a fifth of the workers are in quarantine at once. Each
 * instance judges by the reports that it reads.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class WorkerHealth {

    private static final int MAX_FAILURES = 2;
    private static final long PAUSE_MILLIS = 60_000;
    private static final int MOST_QUARANTINED_DIVISOR = 5;
    private static final int FAILED_JOBS_KEPT = 4_096;

    private final Map<WorkerId, Breaker> breakers = new HashMap<>();
    private final Map<WorkerId, Map<JobId, Long>> counted = new HashMap<>();
    private final Set<WorkerId> quarantined = new TreeSet<>();
    private final Map<JobId, WorkerId> failedFirst =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<JobId, WorkerId> eldest) {
                    return size() > FAILED_JOBS_KEPT;
                }
            };

    /** Creates the health of workers of which nothing is known. */
    public WorkerHealth() {}

    /**
     * Counts the ends of tasks that a report shows and an earlier one didn't.
     *
     * @param worker whose report it is, not null
     * @param leases its leases, not null
     * @param workers how many workers there are
     * @param nowMillis the time, in milliseconds
     */
    public void update(WorkerId worker, List<Lease> leases, int workers, long nowMillis) {
        Map<JobId, Long> seen = counted.computeIfAbsent(worker, any -> new HashMap<>());
        Set<JobId> reported = new HashSet<>();
        for (Lease lease : leases) {
            reported.add(lease.job());
            boolean ended = lease.state() == LeaseState.FAILED || lease.state() == LeaseState.DONE;
            if (ended
                    && !Long.valueOf(lease.token()).equals(seen.put(lease.job(), lease.token()))) {
                count(worker, lease, workers, nowMillis);
            }
        }
        seen.keySet().retainAll(reported);
    }

    /**
     * Asks whether a worker may get no new task now.
     *
     * @param worker the worker, not null
     * @param nowMillis the time, in milliseconds
     * @return true while it is in quarantine
     */
    public boolean isQuarantined(WorkerId worker, long nowMillis) {
        boolean over = quarantined.contains(worker) && !breakers.get(worker).isOpen(nowMillis);
        if (over) {
            quarantined.remove(worker);
        }
        return quarantined.contains(worker);
    }

    /**
     * Returns the workers in quarantine.
     *
     * @return the workers in order, never null
     */
    public List<WorkerId> quarantined() {
        return new ArrayList<>(quarantined);
    }

    /**
     * Forgets a worker that is gone.
     *
     * @param worker the worker, not null
     */
    public void forget(WorkerId worker) {
        breakers.remove(worker);
        counted.remove(worker);
        quarantined.remove(worker);
    }

    private void count(WorkerId worker, Lease lease, int workers, long nowMillis) {
        Breaker breaker =
                breakers.computeIfAbsent(worker, any -> new Breaker(MAX_FAILURES, PAUSE_MILLIS));
        if (lease.state() == LeaseState.DONE) {
            breaker.recordSuccess();
            return;
        }
        WorkerId first = failedFirst.computeIfAbsent(lease.job(), any -> worker);
        if (first.equals(worker)) {
            breaker.recordFailure(nowMillis);
        }
        int most = Math.max(1, workers / MOST_QUARANTINED_DIVISOR);
        if (breaker.isOpen(nowMillis) && quarantined.size() < most) {
            quarantined.add(worker);
        }
    }
}
