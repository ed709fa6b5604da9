package org.acaciafold.cli;

import java.nio.charset.StandardCharsets;

/**
 * The HTTP answer of a host.
 *
 * @param host the host that answered
 * @param status the HTTP status
 * @param outcome the header {@code Acaciafold-Outcome}, empty when absent
 * @param body the body
 */
record HostReply(String host, int status, String outcome, byte[] body) {
    private static final int FIRST_ERROR = 400;
    private static final int TOO_MANY = 429;
    private static final int FIRST_SERVER_ERROR = 500;

    boolean isError() {
        return status >= FIRST_ERROR;
    }

    /** Returns whether another host may accept the same request. */
    boolean mayRetryOnOtherHost() {
        return status >= FIRST_SERVER_ERROR && !outcome.equals("ran");
    }

    /** Returns the exit code for this answer. */
    ExitCode exitCode() {
        if (!isError()) {
            return ExitCode.DONE;
        }
        if (outcome.equals("unknown")) {
            return ExitCode.UNKNOWN;
        }
        boolean repeatable = status == TOO_MANY || status >= FIRST_SERVER_ERROR;
        return repeatable && outcome.equals("not-run") ? ExitCode.NOT_RUN : ExitCode.FAILED;
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
