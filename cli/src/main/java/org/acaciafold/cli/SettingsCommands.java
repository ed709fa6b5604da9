package org.acaciafold.cli;

import java.util.List;

import io.netty.handler.codec.http.HttpMethod;
import org.acaciafold.coordination.ClientReply;
import org.apache.commons.cli.Options;

/** The commands that read and change the settings tree. */
final class SettingsCommands {
    private static final String SETTINGS = "/v1/settings";

    private SettingsCommands() {}

    static List<Command> all() {
        return List.of(
                new Command("settings list", "", "list the subtrees", CommandOptions.calling(), SettingsCommands::list),
                new Command(
                        "settings get",
                        "SUBTREE",
                        "print a subtree; its version goes to standard error",
                        CommandOptions.calling(),
                        SettingsCommands::get),
                new Command(
                        "settings put",
                        "SUBTREE FILE",
                        "replace a subtree by a file, or by standard input for -",
                        editingOptions(),
                        SettingsCommands::put),
                new Command(
                        "settings delete", "SUBTREE", "remove a subtree", editingOptions(), SettingsCommands::delete),
                new Command(
                        "settings edit",
                        "EDIT",
                        "show whether an edit is in force everywhere",
                        CommandOptions.editing(),
                        SettingsCommands::edit));
    }

    /**
     * Prints the state of an edit, after waiting for the edit if {@code --wait} is set.
     *
     * @param invocation the command line
     * @param client the client
     * @param reply the answer to the edit
     * @return the exit code
     * @throws CommandException if the answer is not an edit state
     */
    static ExitCode finishEdit(Invocation invocation, HostClient client, HostReply reply) throws CommandException {
        if (reply.isError()) {
            return ReplyPrinter.error(invocation, reply);
        }
        if (!(HostClient.decode(reply, ClientReply.class) instanceof ClientReply.EditState state)) {
            throw new CommandException(ExitCode.UNKNOWN, "unexpected answer: " + reply.text());
        }
        return finishEdit(invocation, client, state);
    }

    /** Prints the state of an edit, after waiting for the edit if {@code --wait} is set. */
    static ExitCode finishEdit(Invocation invocation, HostClient client, ClientReply.EditState state)
            throws CommandException {
        return ReplyPrinter.edit(invocation, latest(invocation, client, state));
    }

    /** Returns the state of an edit, after waiting for the edit if {@code --wait} is set. */
    static ClientReply.EditState latest(Invocation invocation, HostClient client, ClientReply.EditState state) {
        ClientReply.EditState latest = state;
        long deadlineNs = System.nanoTime() + client.timeout().toNanos();
        while (invocation.has("wait") && !latest.accepted() && System.nanoTime() < deadlineNs) {
            HostClient.pause();
            latest = refresh(client, latest);
        }
        return latest;
    }

    private static ClientReply.EditState refresh(HostClient client, ClientReply.EditState lastState) {
        try {
            HostReply reply = client.get("/v1/edits/" + lastState.editId());
            boolean found =
                    !reply.isError() && HostClient.decode(reply, ClientReply.class) instanceof ClientReply.EditState;
            return found ? (ClientReply.EditState) HostClient.decode(reply, ClientReply.class) : lastState;
        } catch (CommandException e) {
            return lastState;
        }
    }

    private static ExitCode delete(Invocation invocation) throws CommandException {
        return change(invocation, HostRequest.of(HttpMethod.DELETE, path(invocation)));
    }

    private static ExitCode edit(Invocation invocation) throws CommandException {
        HostClient client = invocation.client();
        return finishEdit(invocation, client, client.get("/v1/edits/" + invocation.argument(0)));
    }

    private static Options editingOptions() {
        return CommandOptions.editing()
                .addOption(CommandOptions.option(
                        "if-version", "VERSION", "change only this version, 0 for a new one; default the current one"))
                .addOption(CommandOptions.option("edit", "ID", "the identifier of the edit, to repeat one"));
    }

    private static ExitCode get(Invocation invocation) throws CommandException {
        HostReply reply = invocation.client().get(path(invocation));
        if (reply.isError()) {
            return ReplyPrinter.error(invocation, reply);
        }
        ClientReply.SettingsFound found = found(reply);
        if (invocation.json()) {
            invocation.print(reply.text());
        } else {
            invocation.printRaw(found.text());
            invocation.printDiagnostic("version " + found.version());
        }
        return found.version() == 0 ? ExitCode.FAILED : ExitCode.DONE;
    }

    private static ExitCode list(Invocation invocation) throws CommandException {
        HostReply reply = invocation.client().get(SETTINGS);
        if (reply.isError()) {
            return ReplyPrinter.error(invocation, reply);
        }
        invocation.printRaw(
                invocation.json() ? reply.text() + "\n" : found(reply).text());
        return ExitCode.DONE;
    }

    private static ExitCode put(Invocation invocation) throws CommandException {
        String text = invocation.read(invocation.argument(1));
        return change(
                invocation, HostRequest.of(HttpMethod.PUT, path(invocation)).with("text/plain", text));
    }

    private static ExitCode change(Invocation invocation, HostRequest request) throws CommandException {
        HostClient client = invocation.client();
        String version = invocation.value("if-version").orElse("");
        if (version.isEmpty()) {
            HostReply current = client.get(path(invocation));
            if (current.isError()) {
                return ReplyPrinter.error(invocation, current);
            }
            version = String.valueOf(found(current).version());
        }
        HostRequest edit = request.withHeader("If-Match", version)
                .withHeader("Acaciafold-Edit", invocation.editId())
                .repeatable();
        return finishEdit(invocation, client, client.call(edit));
    }

    private static ClientReply.SettingsFound found(HostReply reply) throws CommandException {
        if (HostClient.decode(reply, ClientReply.class) instanceof ClientReply.SettingsFound found) {
            return found;
        }
        throw new CommandException(ExitCode.FAILED, "unexpected answer: " + reply.text());
    }

    private static String path(Invocation invocation) {
        return SETTINGS + "/" + invocation.argument(0);
    }
}
