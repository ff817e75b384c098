package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.WorkerInfo;

/** What a {@link WorkerLink} needs from the scheduler term that owns it. */
interface LinkOwner {

    /** Requests a scheduling round after a change of the scheduler state. */
    void stateChanged();

    /** Proves the term again, or ends it, as the worker has refused its fencing token. */
    void fenced(WorkerInfo worker);

    /**
     * Removes the worker's runs from the state, as none of them can still be running, but for those
     * whose start got no answer at the given time or later, on the monotonic clock.
     */
    void workerLost(WorkerId worker, long unansweredBeforeMillis);

    /**
     * Uses an entry of the worker's current incarnation; {@code isFirst} tells whether it is the
     * first one of that incarnation.
     */
    void entryConfirmed(WorkerInfo entry, boolean isFirst);

    /** Returns whether leases may be granted now. */
    boolean mayGrant();

    /** Returns whether no earlier scheduler's grants can still be in force. */
    boolean havePredecessorLeasesLapsed();
}
