package org.acaciafold.cli;

import java.util.List;

import org.acaciafold.coordination.ClientReply;
import org.acaciafold.coordination.HostStatus;
import org.acaciafold.coordination.JobStatus;
import org.acaciafold.coordination.SliceSummary;
import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.Step;

/** Prints the answers of hosts as readable text, or as the original JSON. */
final class ReplyPrinter {
    private ReplyPrinter() {}

    /**
     * Prints an error answer.
     *
     * @param invocation the command line, whose streams receive the output
     * @param reply an error answer
     * @return the exit code
     * @throws CommandException if the options are invalid
     */
    static ExitCode error(Invocation invocation, HostReply reply) throws CommandException {
        if (invocation.json()) {
            invocation.print(reply.text());
        } else {
            invocation.printDiagnostic(describeError(reply));
        }
        return reply.exitCode();
    }

    /** Prints an answer to an edit. */
    static ExitCode edit(Invocation invocation, ClientReply.EditState state) throws CommandException {
        if (invocation.json()) {
            byte[] json = Codec.json().encode(state, ClientReply.class);
            invocation.print(new String(json, java.nio.charset.StandardCharsets.UTF_8));
        } else if (state.accepted()) {
            invocation.print("edit " + state.editId() + " is in force everywhere, version " + state.version());
        } else {
            invocation.print("edit " + state.editId() + " is pending, version " + state.version() + "; waiting for "
                    + String.join(", ", state.waitingFor()));
        }
        return state.accepted() ? ExitCode.DONE : ExitCode.PENDING;
    }

    /** Prints the state of a job. */
    static void job(Invocation invocation, JobStatus job) {
        invocation.print("job " + job.job() + " (" + job.name() + ") of workspace " + job.workspace() + ": "
                + job.phase() + ", home " + job.home());
        invocation.print("tasks: " + job.waiting() + " waiting, " + job.running() + " running, " + job.succeeded()
                + " succeeded, " + job.failed() + " failed");
        job.problem().ifPresent(problem -> invocation.print("problem: " + problem));
    }

    /** Prints the state of a host. */
    static void status(Invocation invocation, HostStatus status) {
        invocation.print("host " + status.host() + " in failure domain " + status.domain() + ": "
                + (status.ready() ? "ready" : "not ready") + ", table "
                + (status.tableAnswers() ? "answers" : "does not answer") + ", settings version "
                + status.settingsVersion());
        invocation.print("peers heard: " + (status.peers().isEmpty() ? "none" : join(status.peers())));
        status.owned().forEach(slice -> invocation.print("owned  " + describe(slice)));
        status.known().forEach(slice -> invocation.print("known  " + describe(slice)));
    }

    /** Describes a slice in one line. */
    static String describe(SliceSummary slice) {
        return slice.slice() + " fence " + slice.fence().epoch() + "."
                + slice.fence().counter() + ": "
                + describe(slice.reserved()) + " of " + describe(slice.capacity()) + " reserved, " + slice.waiting()
                + " waiting";
    }

    private static String describe(Resources amount) {
        return amount.cpuMillis() + "m cpu/" + amount.memoryMib() + " MiB/" + amount.accelerators() + " accelerators";
    }

    private static String describeError(HostReply reply) {
        try {
            if (reply.text().contains("\"EditConflict\"")) {
                ClientReply answer = Codec.json().decode(reply.body(), ClientReply.class, Step.RESPONSE, reply.host());
                if (answer instanceof ClientReply.EditConflict conflict) {
                    return "others have changed it since it was read; it is at version " + conflict.version()
                            + " now. Read it again, apply the change, and put it with the new version";
                }
            }
            Failure failure = Codec.json().decode(reply.body(), Failure.class, Step.RESPONSE, reply.host());
            return failure.code() + " at " + failure.step() + " (" + failure.peer() + "): " + failure.message();
        } catch (AcaciafoldException e) {
            return reply.host() + " answered with status " + reply.status();
        }
    }

    private static String join(List<?> values) {
        return String.join(", ", values.stream().map(String::valueOf).toList());
    }
}
