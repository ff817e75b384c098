package io.cardamomshelf.core.lease;

/**
 * The action that the owner of a job takes for its gang, as {@link GangDecisionTable} decides it.
 *
 * <p>Immutable and thread-safe.
 */
public enum GangAction {
    /**
     * Do nothing in this round: the gang isn't committed yet and its leases are either committed or
     * lapse, a current report is missing, or no member has a lease.
     */
    NONE,
    /** The gang is committed and some members don't run yet: start them. */
    START,
    /** All members run: renew their leases. */
    RENEW,
    /** All members are done: release them and record the end of the job. */
    FINISH,
    /** A member has failed or is lost, or its lease has lapsed: stop and release all members. */
    STOP
}
