package org.acaciafold.cli;

/** What the exit code of a command tells. */
public enum ExitCode {
    /** It is done; an edit is in force everywhere. */
    DONE(0, "done; an edit is in force everywhere"),
    /** It was refused or failed; a repeat would fail as well. */
    FAILED(1, "refused or failed; a repeat would fail as well"),
    /** The command line or the settings file is wrong. */
    USAGE(2, "the command line or a checked file is wrong"),
    /** An edit is durable, but not yet known to be in force everywhere. */
    PENDING(3, "an edit is durable, but not yet known to be in force everywhere; or a job has not ended"),
    /** Nothing was done; it may be repeated. */
    NOT_RUN(4, "nothing was done; it may be repeated"),
    /** It may have been done. */
    UNKNOWN(5, "it may have been done");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /**
     * Returns the number that the shell sees.
     *
     * @return the exit code
     */
    public int code() {
        return code;
    }

    /**
     * Returns what it means.
     *
     * @return a phrase for people
     */
    public String meaning() {
        return meaning;
    }
}
