package io.cardamomshelf.cli;

/** The exit codes of the operators' command, also documented in {@code docs/OPERATORS.md}. */
enum ExitCode {
    /** The subcommand succeeded. */
    OK(0),
    /** The options, the settings or the lists are invalid; nothing was changed. */
    WRONG_INPUT(2),
    /** Another operator changed one of the entries first; nothing was changed. */
    CONFLICT(3),
    /** The platform's log or the instances can't be reached; nothing was changed. */
    UNREACHABLE(4),
    /** It is unknown whether the edit is in the log; {@code show} prints the state in force. */
    UNKNOWN(5),
    /** Some instances have not reported the edit within the time limit. */
    INCOMPLETE(6),
    /** The job or request was refused or failed, or no event is about the given id. */
    REFUSED(7);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
