package io.cardamomshelf.core.request;

/**
 * The stable code in an answer that gives the reason for its outcome, on which callers may act.
 *
 * <p>Immutable and thread-safe.
 */
public enum Reason {
    /** The request succeeded. */
    OK,
    /** The input is invalid. */
    INVALID,
    /** The request was not received completely in time. */
    TOO_SLOW,
    /** The organisation has no plan or grant. */
    NOT_GRANTED,
    /** No upstream can accept the request now. */
    NO_UPSTREAM,
    /** The organisation or the instance has too many requests in flight. */
    OVERLOADED,
    /** The deadline has passed. */
    DEADLINE,
    /** The upstream could not be reached, or refused the request before running it. */
    UNREACHABLE,
    /** The answer was lost, truncated, late, or belonged to another request. */
    ANSWER_LOST,
    /** The idempotency key is in use by another attempt. */
    KEY_IN_USE,
    /** The platform's log, which must record the job or the idempotency key, is unreachable. */
    LOG_AWAY,
    /** The job can never run. */
    NEVER_FITS,
    /** The instance is shutting down. */
    LEAVING,
    /** The job is not known. */
    UNKNOWN
}
