package org.acaciafold.cli;

import java.io.InputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The entry point of {@code acaciafold}. */
public final class Main {
    private static final String PROGRAM = "acaciafold";
    private static final String HELP = "help";

    private final Map<String, String> environment;
    private final InputStream in;
    private final PrintStream out;
    private final PrintStream err;

    private Main(Map<String, String> environment, InputStream in, PrintStream out, PrintStream err) {
        this.environment = environment;
        this.in = in;
        this.out = out;
        this.err = err;
    }

    /**
     * Runs a command and exits the process with its exit code.
     *
     * @param arguments the command and its arguments
     */
    public static void main(String[] arguments) {
        ExitCode code = of(System.getenv(), System.in, System.out, System.err).run(arguments);
        System.exit(code.code());
    }

    /** Creates the program with the given environment and streams. */
    static Main of(Map<String, String> environment, InputStream in, PrintStream out, PrintStream err) {
        return new Main(environment, in, out, err);
    }

    /** Runs the command that the arguments name and returns its exit code. */
    ExitCode run(String... arguments) {
        List<String> words = List.of(arguments);
        Optional<Command> command = find(words);
        if (command.isPresent()) {
            int nameLength = command.get().name().split(" ").length;
            return run(command.get(), words.subList(nameLength, words.size()));
        }
        boolean helpRequested = words.equals(List.of(HELP)) || words.equals(List.of("--" + HELP));
        printCommands(helpRequested ? out : err);
        return helpRequested ? ExitCode.DONE : ExitCode.USAGE;
    }

    private static List<Command> commands() {
        List<Command> commands = new ArrayList<>();
        commands.add(ServeCommand.command());
        commands.add(CheckCommand.command());
        commands.add(ExplainCommand.command());
        commands.addAll(SettingsCommands.all());
        commands.addAll(KeyCommands.all());
        commands.addAll(DomainCommands.all());
        commands.addAll(JobCommands.all());
        return commands;
    }

    private static Optional<Command> find(List<String> words) {
        String first = words.isEmpty() ? "" : words.getFirst();
        String firstTwo = words.size() < 2 ? first : first + " " + words.get(1);
        return commands().stream()
                .filter(command ->
                        command.name().equals(first) || command.name().equals(firstTwo))
                .findFirst();
    }

    private ExitCode run(Command command, List<String> arguments) {
        Options options = command.options().addOption(null, HELP, false, "print this help");
        try {
            CommandLine line = new DefaultParser().parse(options, arguments.toArray(String[]::new));
            if (line.hasOption(HELP)) {
                printHelp(command, options);
                return ExitCode.DONE;
            }
            if (line.getArgList().size() != command.argumentCount()) {
                throw new ParseException("expected: " + usage(command));
            }
            return command.action().run(new Invocation(line, environment, in, out, err));
        } catch (ParseException e) {
            err.println(e.getMessage());
            return ExitCode.USAGE;
        } catch (CommandException e) {
            err.println(e.getMessage());
            return e.exitCode();
        }
    }

    private void printCommands(PrintStream stream) {
        stream.println("usage: " + PROGRAM + " COMMAND [ARGUMENTS]; COMMAND --help shows the options");
        for (Command command : commands()) {
            stream.printf("  %-32s %s%n", (command.name() + " " + command.arguments()).trim(), command.summary());
        }
    }

    private void printHelp(Command command, Options options) {
        out.println("usage: " + usage(command));
        out.println(command.summary());
        out.println();
        PrintWriter writer = new PrintWriter(out, true);
        options.getOptions().forEach(option -> {
            String argument = option.hasArg() ? " " + option.getArgName() : "";
            writer.printf("  --%-24s %s%n", option.getLongOpt() + argument, option.getDescription());
        });
        out.println();
        out.println("exit codes:");
        for (ExitCode code : ExitCode.values()) {
            out.println("  " + code.code() + "  " + code.meaning());
        }
    }

    private static String usage(Command command) {
        return (PROGRAM + " " + command.name() + " [OPTIONS] " + command.arguments()).trim();
    }
}
