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
 * Detects workers whose tasks fail repeatedly and quarantines them: a quarantined worker gets no
 * new tasks for a time.
 *
 * <p>Use: the entry instance's worker poller calls {@code health.update(worker, leases,
 * workerCount, now)} for each report, then {@code isQuarantined(worker, now)} before it offers the
 * worker for placements. After two failed tasks in a row a worker is quarantined for a minute.
 * Until a task succeeds, each further failure quarantines it for twice the previous time, up to 32
 * minutes. A success resets the count.
 *
 * <p>Limits: the failures of one job count only against the first worker on which it failed, so
 * that a job that fails everywhere doesn't quarantine the whole fleet. At most a fifth of the
 * workers, or one in a small fleet, are quarantined at the same time. Each instance decides by the
 * reports that it reads itself.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class WorkerHealth {

    private static final int MAX_FAILURES = 2;
    private static final long QUARANTINE_MILLIS = 60_000;
    private static final int QUARANTINED_SHARE_DIVISOR = 5;
    private static final int FAILED_JOBS_KEPT = 4_096;

    private final Map<WorkerId, Breaker> breakers = new HashMap<>();

    /** The fencing token of the last counted end of each job in a worker's latest report. */
    private final Map<WorkerId, Map<JobId, Long>> countedTokens = new HashMap<>();

    private final Set<WorkerId> quarantined = new TreeSet<>();
    private final Map<JobId, WorkerId> firstFailedWorkers =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<JobId, WorkerId> eldest) {
                    return size() > FAILED_JOBS_KEPT;
                }
            };

    /** Creates a tracker in which no worker is quarantined. */
    public WorkerHealth() {}

    /**
     * Counts the tasks that have ended since the worker's previous report. Each fencing token
     * counts once.
     *
     * @param worker the worker that sent the report, not null
     * @param leases the leases in the report, not null
     * @param workerCount the number of workers in the fleet
     * @param nowMillis the time, in milliseconds
     */
    public void update(WorkerId worker, List<Lease> leases, int workerCount, long nowMillis) {
        Map<JobId, Long> countedOfWorker =
                countedTokens.computeIfAbsent(worker, ignored -> new HashMap<>());
        Set<JobId> reported = new HashSet<>();
        for (Lease lease : leases) {
            reported.add(lease.job());
            boolean ended = lease.state() == LeaseState.FAILED || lease.state() == LeaseState.DONE;
            if (ended
                    && !Long.valueOf(lease.token())
                            .equals(countedOfWorker.put(lease.job(), lease.token()))) {
                countEnd(worker, lease, workerCount, nowMillis);
            }
        }
        countedOfWorker.keySet().retainAll(reported);
    }

    /**
     * Returns whether a worker is quarantined. Ends the quarantine if its time has passed.
     *
     * @param worker the worker, not null
     * @param nowMillis the time, in milliseconds
     * @return true if the worker must not get a new task now
     */
    public boolean isQuarantined(WorkerId worker, long nowMillis) {
        boolean expired = quarantined.contains(worker) && !breakers.get(worker).isOpen(nowMillis);
        if (expired) {
            quarantined.remove(worker);
        }
        return quarantined.contains(worker);
    }

    /**
     * Returns the workers in quarantine, including those whose time has passed and for which {@link
     * #isQuarantined} has not been called since.
     *
     * @return the workers in order of their identifiers, never null
     */
    public List<WorkerId> quarantined() {
        return new ArrayList<>(quarantined);
    }

    /**
     * Removes all state of a worker that has left the fleet.
     *
     * @param worker the worker, not null
     */
    public void forget(WorkerId worker) {
        breakers.remove(worker);
        countedTokens.remove(worker);
        quarantined.remove(worker);
    }

    private void countEnd(WorkerId worker, Lease lease, int workerCount, long nowMillis) {
        Breaker breaker =
                breakers.computeIfAbsent(
                        worker, ignored -> new Breaker(MAX_FAILURES, QUARANTINE_MILLIS));
        if (lease.state() == LeaseState.DONE) {
            breaker.recordSuccess();
            return;
        }
        WorkerId firstFailed = firstFailedWorkers.computeIfAbsent(lease.job(), ignored -> worker);
        if (firstFailed.equals(worker)) {
            breaker.recordFailure(nowMillis);
        }
        int maxQuarantined = Math.max(1, workerCount / QUARANTINED_SHARE_DIVISOR);
        if (breaker.isOpen(nowMillis) && quarantined.size() < maxQuarantined) {
            quarantined.add(worker);
        }
    }
}
