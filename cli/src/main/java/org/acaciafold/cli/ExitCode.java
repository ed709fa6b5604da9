package org.acaciafold.cli;

/** The exit codes of the commands. */
public enum ExitCode {
    /** The command succeeded; an edit is in force everywhere. */
    DONE(0, "done; an edit is in force everywhere"),
    /** The command was refused or failed; a repeat would fail as well. */
    FAILED(1, "refused or failed; a repeat would fail as well"),
    /** The command line or the settings file is wrong. */
    USAGE(2, "the command line or a checked file is wrong"),
    /** An edit is durable, but not yet known to be in force everywhere, or a job has not ended. */
    PENDING(3, "an edit is durable, but not yet known to be in force everywhere; or a job has not ended"),
    /** The command had no effect; it may be repeated. */
    NOT_RUN(4, "nothing was done; it may be repeated"),
    /** The command may have taken effect. */
    UNKNOWN(5, "it may have been done");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the exit code
     */
    public int code() {
        return code;
    }

    /**
     * Returns the description of the exit code.
     *
     * @return the text that {@code --help} prints
     */
    public String meaning() {
        return meaning;
    }
}
