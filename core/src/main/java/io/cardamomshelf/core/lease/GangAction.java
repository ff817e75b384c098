package io.cardamomshelf.core.lease;

/**
 * What the job's owner does about a gang, given what the members' workers report.
 *
 * <p>Immutable and thread-safe.
 */
public enum GangAction {
    /** Nothing, for now: held cells either go on or lapse, or a report is missing. */
    NONE,
    /** The commit stands and some members don't run yet: start them. */
    START,
    /** All members run: renew their leases. */
    RENEW,
    /** All members have ended well: release them and record the end. */
    FINISH,
    /** A member failed, lapsed or is gone for good: stop and release all. */
    STOP
}
