package org.acaciafold.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.acaciafold.settings.EntrySettingsReader;
import org.acaciafold.settings.HostSettingsReader;
import org.acaciafold.settings.SettingsException;
import org.acaciafold.settings.SettingsProblem;
import org.acaciafold.settings.SettingsTree;
import org.apache.commons.cli.Options;

/** The command that validates settings without calling a host. */
final class CheckCommand {
    private static final String PLATFORM = "platform";
    private static final String SUFFIX = ".ini";

    private CheckCommand() {}

    static Command command() {
        Options options = new Options()
                .addOption(CommandOptions.option(
                        "subtree", "SUBTREE", "check the file as this subtree, not as the file of an entry host"))
                .addOption(null, PLATFORM, false, "check the file as that of an entry host on the users' platform");
        return new Command(
                "check",
                "FILE",
                "check a settings file of an entry host, or a directory with a settings tree"
                        + " (workspace/NAME.ini, domain/NAME.ini, open.ini)",
                options,
                CheckCommand::run);
    }

    private static ExitCode run(Invocation invocation) throws CommandException {
        Path file = Path.of(invocation.argument(0));
        Optional<String> subtree = invocation.value("subtree");
        try {
            if (Files.isDirectory(file)) {
                SettingsTree.of(1, texts(invocation, file)).check();
            } else if (subtree.isPresent()) {
                SettingsTree.of(1, Map.of(subtree.get(), invocation.read(invocation.argument(0))))
                        .check();
            } else if (invocation.has(PLATFORM)) {
                EntrySettingsReader.read(file);
            } else {
                HostSettingsReader.read(file);
            }
        } catch (SettingsException e) {
            for (SettingsProblem problem : e.problems()) {
                invocation.printDiagnostic(problem.toString());
            }
            return ExitCode.USAGE;
        }
        invocation.print(file + " is valid");
        return ExitCode.DONE;
    }

    private static Map<String, String> texts(Invocation invocation, Path directory) throws CommandException {
        Map<String, String> texts = new TreeMap<>();
        for (Path file : files(directory)) {
            String name = directory.relativize(file).toString();
            String subtree = name.endsWith(SUFFIX) ? name.substring(0, name.length() - SUFFIX.length()) : name;
            texts.put(subtree, invocation.read(file.toString()));
        }
        return texts;
    }

    private static List<Path> files(Path directory) throws CommandException {
        try (Stream<Path> walk = Files.walk(directory)) {
            return walk.filter(Files::isRegularFile).sorted().toList();
        } catch (IOException e) {
            throw new CommandException(ExitCode.USAGE, directory + " cannot be read: " + e, e);
        }
    }
}
