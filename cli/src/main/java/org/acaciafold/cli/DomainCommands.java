package org.acaciafold.cli;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpMethod;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.coordination.HostStatus;
import org.acaciafold.coordination.SliceSummary;

/** The commands that take failure domains out of service, return them to service, and print the state of a host. */
final class DomainCommands {
    private static final String METRICS = "metrics";

    private DomainCommands() {}

    static List<Command> all() {
        return List.of(
                new Command(
                        "domain out",
                        "DOMAIN",
                        "take a failure domain out of service",
                        CommandOptions.editing(),
                        invocation -> changeDomain(invocation, "out")),
                new Command(
                        "domain in",
                        "DOMAIN",
                        "return a failure domain to service",
                        CommandOptions.editing(),
                        invocation -> changeDomain(invocation, "in")),
                new Command(
                        "domain show",
                        "DOMAIN",
                        "print the settings of a failure domain and its slices as stored on the host",
                        CommandOptions.calling(),
                        DomainCommands::show),
                new Command(
                        "status",
                        "",
                        "print the state of an entry host",
                        CommandOptions.calling()
                                .addOption(CommandOptions.option(
                                        METRICS,
                                        "IP:PORT",
                                        "read it from the metrics address of a host on the users' platform")),
                        DomainCommands::status));
    }

    private static ExitCode changeDomain(Invocation invocation, String direction) throws CommandException {
        HostClient client = invocation.client();
        String path = "/v1/domains/" + invocation.argument(0) + "/" + direction;
        HostRequest request = HostRequest.of(HttpMethod.POST, path).repeatable();
        return SettingsCommands.finishEdit(invocation, client, client.call(request));
    }

    private static ExitCode show(Invocation invocation) throws CommandException {
        HostClient client = invocation.client();
        HostReply settings = client.get("/v1/settings/domain/" + invocation.argument(0));
        HostReply status = client.get("/v1/status");
        if (settings.isError() || status.isError()) {
            return ReplyPrinter.error(invocation, settings.isError() ? settings : status);
        }
        if (invocation.json()) {
            invocation.print("{\"settings\":" + settings.text() + ",\"status\":" + status.text() + "}");
            return ExitCode.DONE;
        }
        if (HostClient.decode(settings, ClientReply.class) instanceof ClientReply.SettingsFound found) {
            invocation.printRaw(found.version() == 0 ? "[domain]\n" : found.text());
        }
        HostStatus known = HostClient.decode(status, HostStatus.class);
        known.owned().forEach(slice -> printSlice(invocation, slice));
        known.known().forEach(slice -> printSlice(invocation, slice));
        return ExitCode.DONE;
    }

    private static void printSlice(Invocation invocation, SliceSummary slice) {
        if (slice.slice().value().startsWith(invocation.argument(0) + ".")) {
            invocation.print("slice " + ReplyPrinter.describe(slice));
        }
    }

    private static ExitCode status(Invocation invocation) throws CommandException {
        Optional<String> metrics = invocation.value(METRICS);
        if (metrics.isPresent()) {
            return MetricsStatus.run(invocation, metrics.get());
        }
        HostReply reply = invocation.client().get("/v1/status");
        if (reply.isError()) {
            return ReplyPrinter.error(invocation, reply);
        }
        if (invocation.json()) {
            invocation.print(reply.text());
        } else {
            ReplyPrinter.status(invocation, HostClient.decode(reply, HostStatus.class));
        }
        return ExitCode.DONE;
    }
}
