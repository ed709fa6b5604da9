package org.acaciafold.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

import org.apache.commons.cli.CommandLine;

/** A parsed command line with its streams and environment variables. */
final class Invocation {
    /** The environment variable with the addresses of the hosts. */
    static final String HOST_VARIABLE = "ACACIAFOLD_HOST";

    /** The environment variable with the key. */
    static final String KEY_VARIABLE = "ACACIAFOLD_KEY";

    private static final int DEFAULT_TIMEOUT_SECONDS = 30;
    private static final String STANDARD_INPUT = "-";

    private final CommandLine commandLine;
    private final Map<String, String> environment;
    private final PrintStream out;
    private final PrintStream err;
    private final InputStream in;

    Invocation(
            CommandLine commandLine,
            Map<String, String> environment,
            InputStream in,
            PrintStream out,
            PrintStream err) {
        this.commandLine = commandLine;
        this.environment = environment;
        this.in = in;
        this.out = out;
        this.err = err;
    }

    /** Returns an argument by its index, starting at 0. */
    String argument(int index) {
        return commandLine.getArgList().get(index);
    }

    /** Returns a client for the hosts on the command line or in the environment. */
    HostClient client() throws CommandException {
        String hosts = option("host", HOST_VARIABLE);
        return HostClient.of(List.of(hosts.split(",")), option("key", KEY_VARIABLE), timeout());
    }

    /** Returns the identifier of the edit from {@code --edit}, or a new one if it is absent. */
    String editId() {
        return value("edit").orElseGet(() -> UUID.randomUUID().toString());
    }

    boolean has(String option) {
        return commandLine.hasOption(option);
    }

    boolean json() throws CommandException {
        String output = value("output").orElse("text");
        if (!output.equals("text") && !output.equals("json")) {
            throw new CommandException(ExitCode.USAGE, "--output must be text or json, not " + output);
        }
        return output.equals("json");
    }

    /** Writes a line of the result to standard output. */
    void print(String text) {
        out.println(text);
    }

    /** Writes text of the result to standard output without adding a line break. */
    void printRaw(String text) {
        out.print(text);
        out.flush();
    }

    /** Writes a line that is not part of the result to standard error. */
    void printDiagnostic(String text) {
        err.println(text);
    }

    /** Reads a file, or standard input for {@code -}. */
    String read(String file) throws CommandException {
        try {
            return file.equals(STANDARD_INPUT)
                    ? new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    : Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new CommandException(ExitCode.USAGE, file + " cannot be read: " + e, e);
        }
    }

    Duration timeout() throws CommandException {
        String text = value("timeout").orElse(String.valueOf(DEFAULT_TIMEOUT_SECONDS));
        if (!text.matches("[1-9][0-9]{0,4}")) {
            throw new CommandException(ExitCode.USAGE, "--timeout must be whole seconds from 1, not " + text);
        }
        return Duration.ofSeconds(Long.parseLong(text));
    }

    Optional<String> value(String option) {
        return Optional.ofNullable(commandLine.getOptionValue(option));
    }

    private String option(String name, String variable) throws CommandException {
        Optional<String> given = value(name).or(() -> Optional.ofNullable(environment.get(variable)));
        return given.filter(text -> !text.isBlank())
                .orElseThrow(() -> new CommandException(ExitCode.USAGE, "give --" + name + " or set " + variable));
    }
}
