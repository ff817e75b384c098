package io.cardamomshelf.core.request;

/**
 * Says why an answer is what it is; the stable code that callers may act on.
 *
 * <p>Immutable and thread-safe.
 */
public enum Reason {
    /** All went well. */
    OK,
    /** The input is wrong. */
    INVALID,
    /** The request didn't come whole in time. */
    TOO_SLOW,
    /** The organisation has no plan or grant. */
    NOT_GRANTED,
    /** No upstream may take the request now. */
    NO_UPSTREAM,
    /** The organisation or the instance has too many requests in flight. */
    OVERLOADED,
    /** The deadline leaves no time. */
    DEADLINE,
    /** The upstream could not be reached, or refused before running. */
    UNREACHABLE,
    /** The answer was lost, cut, late or another request's. */
    ANSWER_LOST,
    /** The idempotency key is in use by another attempt. */
    KEY_IN_USE,
    /** The platform's log is away and the promise needs it. */
    LOG_AWAY,
    /** The job can never run. */
    NEVER_FITS,
    /** The instance is leaving. */
    LEAVING,
    /** There is no such job. */
    UNKNOWN
}
