package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.RunHosts;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The workers that are named in the store for one job, so that the next scheduler knows where runs
 * of it may be.
 *
 * <p>Load it answers: a change of scheduler while a worker is silent. Only the jobs that may have
 * runs on that worker wait for it; for that, no run may start where no stored record names it.
 *
 * <p>Limits: while several records are under way any of them may become the newest one, so only
 * what all of them name counts.
 */
final class HostIntents {

    /** How long a record may be under way before the store counts as away, in milliseconds. */
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
     * Creates the names of a job.
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

    /** Keeps only workers that haven't told their runs; all others can't hide any. */
    void retainUnreported(Set<WorkerId> unreportedWorkers) {
        unreported.retainAll(unreportedWorkers);
    }

    /** Notes that a worker has told its runs, or that nothing can be left of them. */
    void markReported(WorkerId worker) {
        unreported.remove(worker);
    }

    /** Whether named workers haven't told. */
    boolean hasUnreportedWorkers() {
        return !unreported.isEmpty();
    }

    /** Whether runs may exist that no worker has told. */
    boolean mayHaveUnreportedRuns(boolean allReported) {
        return anyWorkerInDoubt && !allReported || hasUnreportedWorkers();
    }

    /** Whether runs may start on these workers. */
    boolean covers(Collection<WorkerId> hosts) {
        return confirmed.covers(hosts);
    }

    /** Whether workers have been named since the last start. */
    boolean isAddedSinceStart() {
        return anywhere || addedSinceStart;
    }

    /** Whether what is wanted has been under way for so long that the store seems to be away. */
    boolean isStoreLate(long nowMillis) {
        return inFlight > 0 && nowMillis - requestedMillis > LATE_MILLIS;
    }

    /** Asks for names; returns whether a record has to be sent for them. */
    boolean add(Collection<WorkerId> hosts, long nowMillis) {
        addedSinceStart = true;
        if (requested.addAll(hosts)) {
            requestedMillis = nowMillis;
        }
        return !latest.covers(hosts);
    }

    /** Asks for every worker to be named; returns whether a record has to be sent for that. */
    boolean addAnyWorker() {
        anywhere = true;
        return !latest.anywhere();
    }

    /** Notes a start; of the names so far only these are kept, for another start there. */
    void markStarted(Collection<WorkerId> hosts) {
        addedSinceStart = false;
        requested.clear();
        requested.addAll(hosts);
    }

    /** Returns what the record names that is sent now, with the workers that have runs. */
    RunHosts nextRecord(Collection<WorkerId> runningWorkers) {
        Set<WorkerId> hosts = new TreeSet<>(runningWorkers);
        hosts.addAll(requested);
        latest = anywhere ? RunHosts.ANYWHERE : RunHosts.of(hosts);
        anywhere = latest.anywhere();
        confirmed = confirmed.common(latest);
        inFlight++;
        return latest;
    }

    /** Notes that the oldest record under way is stored. */
    void confirmOldestRecord() {
        inFlight--;
        if (inFlight == 0) {
            confirmed = latest;
        }
    }
}
