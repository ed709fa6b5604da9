package org.acaciafold.cli;

/** Thrown when a command fails; it contains the exit code. */
final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    CommandException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    CommandException(ExitCode exitCode, String message, Throwable cause) {
        super(message, cause);
        this.exitCode = exitCode;
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
