package io.cardamomshelf.core.lease;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.JobId;

/**
 * A lease as its worker tells it: a slice held for a job under a token, until it lapses.
 *
 * <p>The worker's own clock judges the expiry, so that a paused holder can't act late.
 *
 * <p>Immutable and thread-safe.
 *
 * @param job the job, not null
 * @param token the fencing token, an offset of the log, above 0; a worker takes no lower one
 * @param mask the accelerators, a bit each
 * @param state what it stands at, not null
 * @param remainingMillis how long until it lapses, in milliseconds, when the worker told it
 * @param note the gang's annotation, not null
 */
public record Lease(
        JobId job, long token, long mask, LeaseState state, long remainingMillis, GangNote note) {

    /**
     * Creates a lease.
     *
     * @throws IllegalArgumentException if a value is missing or the token is below 1
     */
    public Lease {
        Checks.notNull("job", job);
        Checks.range("token", token, 1, Long.MAX_VALUE);
        Checks.notNull("state", state);
        Checks.notNull("note", note);
    }
}
