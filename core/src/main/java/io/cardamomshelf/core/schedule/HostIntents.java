package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.RunHosts;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The host intents of one job: the workers recorded in the store as possible hosts of its runs.
 *
 * <p>After a change of scheduler a worker may be unresponsive. Only jobs that may have runs on that
 * worker have to wait for it. This requires that no run starts on a worker that isn't in a stored
 * record.
 *
 * <p>Limits: while several records are in flight, any of them may become the newest stored one, so
 * only workers that are in all of them count as recorded.
 */
final class HostIntents {

    private final boolean inheritedForAnyWorker;
    private final Set<WorkerId> requested = new TreeSet<>();
    private final Set<WorkerId> unreported = new TreeSet<>();
    private boolean forAnyWorker;
    private boolean addedSinceStart;
    private RunHosts confirmed;
    private RunHosts latest;
    private int inFlight;

    /**
     * Creates the intents of a job.
     *
     * @param storedHosts the hosts in the stored record, empty if none is stored
     * @param inherited whether an earlier scheduler may have started runs
     */
    HostIntents(Optional<RunHosts> storedHosts, boolean inherited) {
        this.confirmed = storedHosts.orElse(RunHosts.NONE);
        this.latest = confirmed;
        this.forAnyWorker = confirmed.anywhere();
        this.inheritedForAnyWorker = inherited && forAnyWorker;
        requested.addAll(confirmed.workers());
        if (inherited) {
            unreported.addAll(confirmed.workers());
        }
    }

    /** Keeps only workers that haven't reported; the runs of all others are known. */
    void retainUnreported(Set<WorkerId> unreportedWorkers) {
        unreported.retainAll(unreportedWorkers);
    }

    /** Records that a worker has reported its runs, or that none can still exist. */
    void markReported(WorkerId worker) {
        unreported.remove(worker);
    }

    /** Whether recorded workers haven't reported yet. */
    boolean hasUnreportedWorkers() {
        return !unreported.isEmpty();
    }

    /** Whether runs may exist that no worker has reported. */
    boolean mayHaveUnreportedRuns(boolean allReported) {
        return inheritedForAnyWorker && !allReported || hasUnreportedWorkers();
    }

    /** Whether all these workers are recorded, so that runs may start on them. */
    boolean covers(Collection<WorkerId> hosts) {
        return confirmed.containsAll(hosts);
    }

    /**
     * Whether the next start has an intent: one added since the last start, or one for any worker.
     */
    boolean hasIntentForNextStart() {
        return forAnyWorker || addedSinceStart;
    }

    /** Adds workers; returns whether a record has to be sent for them. */
    boolean add(Collection<WorkerId> hosts) {
        addedSinceStart = true;
        requested.addAll(hosts);
        return !latest.containsAll(hosts);
    }

    /** Extends the intent to any worker; returns whether a record has to be sent for that. */
    boolean addAnyWorker() {
        forAnyWorker = true;
        return !latest.anywhere();
    }

    /** Records a start; keeps only its hosts, so that a restart there needs no new record. */
    void markStarted(Collection<WorkerId> hosts) {
        addedSinceStart = false;
        requested.clear();
        requested.addAll(hosts);
    }

    /** Returns the hosts for a record that is sent now; those that have runs are included. */
    RunHosts nextRecord(Collection<WorkerId> runningWorkers) {
        Set<WorkerId> hosts = new TreeSet<>(runningWorkers);
        hosts.addAll(requested);
        latest = forAnyWorker ? RunHosts.ANYWHERE : RunHosts.of(hosts);
        forAnyWorker = latest.anywhere();
        confirmed = confirmed.intersection(latest);
        inFlight++;
        return latest;
    }

    /** Records that the oldest record in flight is stored. */
    void confirmOldestRecord() {
        inFlight--;
        if (inFlight == 0) {
            confirmed = latest;
        }
    }
}
