package org.acaciafold.cli;

import java.util.List;
import java.util.Optional;
import java.util.UUID;

import io.netty.handler.codec.http.HttpMethod;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.coordination.JobPhase;
import org.acaciafold.coordination.JobStatus;
import org.acaciafold.core.model.JobId;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** The commands that submit jobs and query their state, on the callers' port. */
final class JobCommands {
    private static final String JOBS = "/v1/jobs";
    private static final int CONFLICT = 409;

    private JobCommands() {}

    static List<Command> all() {
        return List.of(
                new Command(
                        "job submit",
                        "FILE",
                        "submit a job described in JSON by a file, or by standard input for -",
                        submitOptions(),
                        JobCommands::submit),
                new Command(
                        "job status", "JOB", "print the state of a job", CommandOptions.calling(), JobCommands::status),
                new Command("job cancel", "JOB", "cancel a job", CommandOptions.calling(), JobCommands::cancel),
                new Command(
                        "job result",
                        "JOB",
                        "print the results of a job, one line for each task",
                        waitingOptions(),
                        JobCommands::result));
    }

    private static ExitCode cancel(Invocation invocation) throws CommandException {
        HostReply reply = invocation
                .client()
                .call(HostRequest.of(HttpMethod.DELETE, path(invocation)).repeatable());
        return print(invocation, reply, "job " + invocation.argument(0) + " is being cancelled");
    }

    private static String path(Invocation invocation) {
        return JOBS + "/" + invocation.argument(0);
    }

    private static ExitCode print(Invocation invocation, HostReply reply, String text) throws CommandException {
        if (reply.isError()) {
            return ReplyPrinter.error(invocation, reply);
        }
        invocation.print(invocation.json() ? reply.text() : text);
        return ExitCode.DONE;
    }

    private static ExitCode result(Invocation invocation) throws CommandException {
        HostClient client = invocation.client();
        long deadlineNs = System.nanoTime() + client.timeout().toNanos();
        HostReply reply = client.get(path(invocation) + "/result");
        while (reply.status() == CONFLICT && invocation.has("wait") && System.nanoTime() < deadlineNs) {
            HostClient.pause();
            reply = client.get(path(invocation) + "/result");
        }
        if (reply.status() == CONFLICT) {
            ReplyPrinter.error(invocation, reply);
            return ExitCode.PENDING;
        }
        if (reply.isError()) {
            return ReplyPrinter.error(invocation, reply);
        }
        JobResult result = HostClient.decode(reply, JobResult.class);
        if (invocation.json()) {
            invocation.print(reply.text());
        } else {
            result.results().forEach(invocation::print);
            result.problem().ifPresent(invocation::printDiagnostic);
        }
        return result.phase() == JobPhase.SUCCEEDED ? ExitCode.DONE : ExitCode.FAILED;
    }

    private static ExitCode status(Invocation invocation) throws CommandException {
        HostReply reply = invocation.client().get(path(invocation));
        if (reply.isError()) {
            return ReplyPrinter.error(invocation, reply);
        }
        if (invocation.json()) {
            invocation.print(reply.text());
        } else {
            ReplyPrinter.job(invocation, HostClient.decode(reply, JobStatus.class));
        }
        return ExitCode.DONE;
    }

    private static ExitCode submit(Invocation invocation) throws CommandException {
        String key = invocation
                .value("idempotency-key")
                .orElseGet(() -> UUID.randomUUID().toString());
        HostRequest request = HostRequest.of(HttpMethod.POST, JOBS)
                .with("application/json", invocation.read(invocation.argument(0)))
                .withHeader("Idempotency-Key", key)
                .repeatable();
        HostReply reply = invocation.client().call(request);
        if (reply.isError()) {
            return ReplyPrinter.error(invocation, reply);
        }
        if (HostClient.decode(reply, ClientReply.class) instanceof ClientReply.Submitted submitted) {
            invocation.print(invocation.json() ? reply.text() : submitted.job().value());
            return ExitCode.DONE;
        }
        throw new CommandException(ExitCode.UNKNOWN, "unexpected answer: " + reply.text());
    }

    private static Options submitOptions() {
        return CommandOptions.calling()
                .addOption(CommandOptions.option(
                        "idempotency-key", "KEY", "a repeat with the same key finds the first job; default a new one"));
    }

    private static Options waitingOptions() {
        return CommandOptions.calling()
                .addOption(Option.builder()
                        .longOpt("wait")
                        .desc("wait until the job has ended")
                        .get());
    }

    /**
     * The result of a job that has ended.
     *
     * @param job the job
     * @param phase the final phase
     * @param problem the reason for a failure
     * @param results the results of its tasks
     */
    record JobResult(JobId job, JobPhase phase, Optional<String> problem, List<String> results) {}
}
