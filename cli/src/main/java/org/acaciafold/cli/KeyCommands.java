package org.acaciafold.cli;

import java.security.SecureRandom;
import java.util.List;

import io.netty.handler.codec.http.HttpMethod;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.settings.Keys;
import org.acaciafold.settings.NewKey;
import org.apache.commons.cli.Options;

/** The commands that create and withdraw keys. */
final class KeyCommands {
    private KeyCommands() {}

    static List<Command> all() {
        return List.of(
                new Command(
                        "key create",
                        "WORKSPACE",
                        "create a key of a workspace and print its only copy",
                        CommandOptions.editing(),
                        KeyCommands::create),
                new Command(
                        "key withdraw",
                        "WORKSPACE KEYID",
                        "withdraw a key of a workspace",
                        CommandOptions.editing(),
                        KeyCommands::withdraw),
                new Command(
                        "key operator",
                        "",
                        "create an operator key and the line for the settings file of entry hosts",
                        new Options(),
                        KeyCommands::operator));
    }

    private static ExitCode create(Invocation invocation) throws CommandException {
        HostClient client = invocation.client();
        HostReply reply = client.call(HostRequest.of(HttpMethod.POST, path(invocation)));
        if (reply.isError()) {
            return ReplyPrinter.error(invocation, reply);
        }
        Created created = HostClient.decode(reply, Created.class);
        if (!invocation.json()) {
            invocation.print(created.key());
            return SettingsCommands.finishEdit(invocation, client, created.edit());
        }
        invocation.print(reply.text());
        boolean accepted =
                SettingsCommands.latest(invocation, client, created.edit()).accepted();
        return accepted ? ExitCode.DONE : ExitCode.PENDING;
    }

    private static ExitCode operator(Invocation invocation) {
        NewKey key = Keys.create(new SecureRandom());
        invocation.print("key: " + key.text());
        invocation.print("operator-key = " + Keys.formatHash(key.hash()));
        return ExitCode.DONE;
    }

    private static String path(Invocation invocation) {
        return "/v1/workspaces/" + invocation.argument(0) + "/keys";
    }

    private static ExitCode withdraw(Invocation invocation) throws CommandException {
        HostClient client = invocation.client();
        String path = path(invocation) + "/" + invocation.argument(1);
        return SettingsCommands.finishEdit(invocation, client, client.call(HostRequest.of(HttpMethod.DELETE, path)));
    }

    /**
     * A newly created key.
     *
     * @param key the whole key
     * @param id its public part
     * @param edit the state of the edit that adds it
     */
    record Created(String key, String id, ClientReply.EditState edit) {}
}
