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

    private final boolean doubtsAll;
    private final Set<WorkerId> wanted = new TreeSet<>();
    private final Set<WorkerId> doubtful = new TreeSet<>();
    private boolean anywhere;
    private boolean namedAhead;
    private RunHosts known;
    private RunHosts sent;
    private int underWay;
    private long wantedMillis;

    /**
     * Creates the names of a job.
     *
     * @param stored the hosts in the stored record, empty if none is stored
     * @param inherited whether an earlier scheduler may have started runs
     */
    HostIntents(Optional<RunHosts> stored, boolean inherited) {
        this.known = stored.orElse(RunHosts.NONE);
        this.sent = known;
        this.anywhere = known.anywhere();
        this.doubtsAll = inherited && anywhere;
        wanted.addAll(known.workers());
        if (inherited) {
            doubtful.addAll(known.workers());
        }
    }

    /** Keeps only workers that haven't told their runs; all others can't hide any. */
    void inheritFrom(Set<WorkerId> unseen) {
        doubtful.retainAll(unseen);
    }

    /** Notes that a worker has told its runs, or that nothing can be left of them. */
    void accountedFor(WorkerId worker) {
        doubtful.remove(worker);
    }

    /** Whether named workers haven't told. */
    boolean isDoubtful() {
        return !doubtful.isEmpty();
    }

    /** Whether runs may exist that no worker has told. */
    boolean isInDoubt(boolean allHaveTold) {
        return doubtsAll && !allHaveTold || isDoubtful();
    }

    /** Whether runs may start on these workers. */
    boolean covers(Collection<WorkerId> hosts) {
        return known.containsAll(hosts);
    }

    /** Whether workers have been named since the last start. */
    boolean isNamedAhead() {
        return anywhere || namedAhead;
    }

    /** Whether what is wanted has been under way for so long that the store seems to be away. */
    boolean isLate(long nowMillis) {
        return underWay > 0 && nowMillis - wantedMillis > LATE_MILLIS;
    }

    /** Asks for names; returns whether a record has to be sent for them. */
    boolean want(Collection<WorkerId> hosts, long nowMillis) {
        namedAhead = true;
        if (wanted.addAll(hosts)) {
            wantedMillis = nowMillis;
        }
        return !sent.containsAll(hosts);
    }

    /** Asks for every worker to be named; returns whether a record has to be sent for that. */
    boolean wantAnywhere() {
        anywhere = true;
        return !sent.anywhere();
    }

    /** Notes a start; of the names so far only these are kept, for another start there. */
    void used(Collection<WorkerId> hosts) {
        namedAhead = false;
        wanted.clear();
        wanted.addAll(hosts);
    }

    /** Returns what the record names that is sent now, with the workers that have runs. */
    RunHosts send(Collection<WorkerId> running) {
        Set<WorkerId> hosts = new TreeSet<>(running);
        hosts.addAll(wanted);
        sent = anywhere ? RunHosts.ANYWHERE : RunHosts.of(hosts);
        anywhere = sent.anywhere();
        known = known.intersection(sent);
        underWay++;
        return sent;
    }

    /** Notes that the oldest record under way is stored. */
    void stored() {
        underWay--;
        if (underWay == 0) {
            known = sent;
        }
    }
}
