package io.cardamomshelf.core.schedule;

/** The outcome of a start, as far as the answer shows it. */
public enum StartOutcome {
    /** The worker has the run. */
    STARTED,
    /** The worker has refused the run and will never execute it. */
    REFUSED,
    /** There was no answer; the worker may have the run, or may still receive it. */
    UNKNOWN
}
