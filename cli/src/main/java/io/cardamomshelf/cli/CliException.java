package io.cardamomshelf.cli;

/** Thrown to end the command with an error message and an exit code. */
final class CliException extends Exception {

    private static final long serialVersionUID = 1L;

    private final ExitCode code;

    CliException(ExitCode code, String message) {
        super(message);
        this.code = code;
    }

    ExitCode code() {
        return code;
    }
}
