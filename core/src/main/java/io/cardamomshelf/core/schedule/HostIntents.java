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

    /**
     * How long a record may be in flight until the store counts as unreachable, in milliseconds.
     */
    private static final long LATE_MILLIS = 500;

    private final boolean anyWorkerInDoubt;
    private final Set<WorkerId> requested = new TreeSet<>();
    private final Set<WorkerId> unreported = new TreeSet<>();
    private boolean anywhere;
    private boolean addedSinceStart;
    private RunHosts confirmed;
    private RunHosts latest;
    private int inFlight;
    private long requestedMillis;

    /**
     * Creates the intents of a job.
     *
     * @param storedHosts the hosts in the stored record, empty if none is stored
     * @param inherited whether an earlier scheduler may have started runs
     */
    HostIntents(Optional<RunHosts> storedHosts, boolean inherited) {
        this.confirmed = storedHosts.orElse(RunHosts.NONE);
        this.latest = confirmed;
        this.anywhere = confirmed.anywhere();
        this.anyWorkerInDoubt = inherited && anywhere;
        requested.addAll(confirmed.workers());
        if (inherited) {
            unreported.addAll(confirmed.workers());
        }
    }

    /** Keeps only workers that haven't reported; the runs of all others are known. */
    void retainUnreported(Set<WorkerId> unreportedWorkers) {
        unreported.retainAll(unreportedWorkers);
    }

    /** Notes that a worker has reported its runs, or that none can still exist. */
    void markReported(WorkerId worker) {
        unreported.remove(worker);
    }

    /** Whether recorded workers haven't reported yet. */
    boolean hasUnreportedWorkers() {
        return !unreported.isEmpty();
    }

    /** Whether runs may exist that no worker has reported. */
    boolean mayHaveUnreportedRuns(boolean allReported) {
        return anyWorkerInDoubt && !allReported || hasUnreportedWorkers();
    }

    /** Whether all these workers are recorded, so that runs may start on them. */
    boolean covers(Collection<WorkerId> hosts) {
        return confirmed.containsAll(hosts);
    }

    /** Whether intents have been added since the last start, or cover any worker. */
    boolean isAddedSinceStart() {
        return anywhere || addedSinceStart;
    }

    /** Whether records have been in flight for so long that the store seems to be unreachable. */
    boolean isStoreLate(long nowMillis) {
        return inFlight > 0 && nowMillis - requestedMillis > LATE_MILLIS;
    }

    /** Adds workers; returns whether a record has to be sent for them. */
    boolean add(Collection<WorkerId> hosts, long nowMillis) {
        addedSinceStart = true;
        if (requested.addAll(hosts)) {
            requestedMillis = nowMillis;
        }
        return !latest.containsAll(hosts);
    }

    /** Extends the intent to any worker; returns whether a record has to be sent for that. */
    boolean addAnyWorker() {
        anywhere = true;
        return !latest.anywhere();
    }

    /** Notes a start; keeps only its hosts, so that a restart there needs no new record. */
    void markStarted(Collection<WorkerId> hosts) {
        addedSinceStart = false;
        requested.clear();
        requested.addAll(hosts);
    }

    /** Returns the hosts for a record that is sent now; those that have runs are included. */
    RunHosts nextRecord(Collection<WorkerId> runningWorkers) {
        Set<WorkerId> hosts = new TreeSet<>(runningWorkers);
        hosts.addAll(requested);
        latest = anywhere ? RunHosts.ANYWHERE : RunHosts.of(hosts);
        anywhere = latest.anywhere();
        confirmed = confirmed.intersection(latest);
        inFlight++;
        return latest;
    }

    /** Notes that the oldest record in flight is stored. */
    void confirmOldestRecord() {
        inFlight--;
        if (inFlight == 0) {
            confirmed = latest;
        }
    }
}
