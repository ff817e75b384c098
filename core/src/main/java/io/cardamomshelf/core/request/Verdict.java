package io.cardamomshelf.core.request;

/**
 * Whether a request or job has run, as far as is known. Every answer to a caller contains a
 * verdict.
 *
 * <p>Use: a request may be retried after {@link #NOT_RUN}, and after {@link #MAY_HAVE_RUN} only if
 * it is idempotent.
 *
 * <p>Immutable and thread-safe.
 */
public enum Verdict {
    /** It ran, and the answer is complete. */
    RAN,
    /** It did not run and this attempt will not run it: it was not sent, or it was refused. */
    NOT_RUN,
    /** It may have run: the attempt gives no proof that it did not. */
    MAY_HAVE_RUN;

    /**
     * Combines the verdicts of two attempts at one request.
     *
     * @param other the other attempt's verdict, not null
     * @return the verdict on both attempts together, never null
     */
    public Verdict combine(Verdict other) {
        if (this == RAN || other == RAN) {
            return RAN;
        }
        return this == NOT_RUN && other == NOT_RUN ? NOT_RUN : MAY_HAVE_RUN;
    }

    /**
     * Returns whether a further attempt is allowed.
     *
     * @param idempotent whether the request may run more than once
     * @return true if another attempt can't run a non-idempotent request twice
     */
    public boolean isRetryable(boolean idempotent) {
        return this == NOT_RUN || this == MAY_HAVE_RUN && idempotent;
    }
}
