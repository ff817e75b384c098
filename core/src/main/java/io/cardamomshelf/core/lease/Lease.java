package io.cardamomshelf.core.lease;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.JobId;

/**
 * A lease as reported by its worker: a slice held for a job under a fencing token until it lapses.
 *
 * <p>The worker decides by its own clock when the lease lapses, so a holder that was paused can't
 * act on an expired lease.
 *
 * <p>Immutable and thread-safe.
 *
 * @param job the job, not null
 * @param token the fencing token, as {@link FencingTokens} makes it, above 0; the worker refuses a
 *     lower one
 * @param mask the accelerators, one bit each
 * @param state the state of the lease, not null
 * @param remainingMillis the time until the lease lapses, in milliseconds, at the time of the
 *     worker's report
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
