package io.cardamomshelf.core.lease;

/**
 * The action that the owner of a job takes for its gang, as {@link GangDecisionTable} decides it.
 *
 * <p>Immutable and thread-safe.
 */
public enum GangAction {
    /**
     * Do nothing in this round: uncommitted leases are either committed or lapse, or a current
     * report is missing.
     */
    NONE,
    /** The gang is committed and some members don't run yet: start them. */
    START,
    /** All members run: renew their leases. */
    RENEW,
    /** All members are done: release them and record the end of the job. */
    FINISH,
    /** A member has failed, lapsed or is lost: stop and release all members. */
    STOP
}
