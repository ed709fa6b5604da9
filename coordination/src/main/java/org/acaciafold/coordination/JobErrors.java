package org.acaciafold.coordination;

import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.Step;

/** The errors of calls that concern one job. */
final class JobErrors {
    private static final String TABLE = "table";
    private static final long RETRY_AFTER_MS = 1_000;

    private JobErrors() {}

    static ClientReply forbidden(JobId job) {
        return failed("forbidden", "job " + job + " belongs to another workspace");
    }

    static ClientReply notFound(JobId job) {
        return failed("not-found", "there is no job " + job);
    }

    static ClientReply unavailable() {
        Failure failure = Failure.notRun(Step.TABLE, TABLE, "table-unavailable", "the table does not answer");
        return new ClientReply.Failed(failure.withRetryAfterMs(RETRY_AFTER_MS));
    }

    static ClientReply unknown() {
        Failure failure = Failure.unknown(Step.TABLE, TABLE, "table-unavailable", "the table did not answer in time");
        return new ClientReply.Failed(failure.withRetryAfterMs(RETRY_AFTER_MS));
    }

    private static ClientReply failed(String code, String message) {
        return new ClientReply.Failed(Failure.notRun(Step.ROUTING, TABLE, code, message));
    }
}
