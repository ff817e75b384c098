package io.cardamomshelf.cli;

/** The exit codes of the command, documented in {@code docs/OPERATORS.md}. */
enum ExitCode {
    /** Done. */
    OK(0),
    /** The options, the settings or the lists are wrong; nothing was changed. */
    WRONG_INPUT(2),
    /** Another operator changed an entry first; nothing was changed. */
    CONFLICT(3),
    /** The platform's log or the instances can't be reached; nothing was changed. */
    UNREACHABLE(4),
    /** The edit may or may not be in the log; run {@code show} to see. */
    UNKNOWN(5),
    /** Some instances don't report the edit in time. */
    INCOMPLETE(6),
    /** The job or request was refused or failed. */
    REFUSED(7);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
