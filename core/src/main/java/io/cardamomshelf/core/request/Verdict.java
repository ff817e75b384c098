package io.cardamomshelf.core.request;

/**
 * Says whether a request or job may have run; every answer to a caller carries one.
 *
 * <p>Use: only {@link #NOT_RUN} may be tried again, but for idempotent requests.
 *
 * <p>Immutable and thread-safe.
 */
public enum Verdict {
    /** It ran, and the answer is whole. */
    RAN,
    /** It did not run and won't by this attempt: nothing left the process or it was refused. */
    NOT_RUN,
    /** It can't be ruled out that it ran. */
    MAY_HAVE_RUN;

    /**
     * Joins the verdicts of two attempts at one request.
     *
     * @param other the other attempt's verdict, not null
     * @return what is known about both, never null
     */
    public Verdict combine(Verdict other) {
        if (this == RAN || other == RAN) {
            return RAN;
        }
        return this == NOT_RUN && other == NOT_RUN ? NOT_RUN : MAY_HAVE_RUN;
    }

    /**
     * Asks whether a further attempt is allowed.
     *
     * @param idempotent whether a second run does no harm
     * @return true if another attempt breaks no promise
     */
    public boolean isRetryable(boolean idempotent) {
        return this == NOT_RUN || this == MAY_HAVE_RUN && idempotent;
    }
}
