package org.acaciafold.cli;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.daemon.EntryHost;
import org.acaciafold.settings.HostSettings;
import org.acaciafold.settings.HostSettingsReader;
import org.acaciafold.settings.SettingsException;
import org.acaciafold.settings.SettingsProblem;
import org.apache.commons.cli.Options;

/**
 * The command that runs an entry host until it receives a signal to stop.
 *
 * <p>SIGTERM and SIGINT stop the host gracefully; the exit code then shows whether a request was cut off or a handover
 * was incomplete.
 */
final class ServeCommand {
    private static final String SETTINGS = "settings";

    private ServeCommand() {}

    static Command command() {
        Options options = new Options()
                .addOption(CommandOptions.option(SETTINGS, "FILE", "the settings file of the entry host; required"));
        return new Command(
                "serve",
                "",
                "run an entry host until SIGTERM; exit code 0 if the stop interrupted nothing, 1 if it did",
                options,
                ServeCommand::run);
    }

    private static EntryHost start(Invocation invocation, String file) throws CommandException {
        try {
            HostSettings settings = HostSettingsReader.read(Path.of(file));
            return EntryHost.start(settings);
        } catch (SettingsException e) {
            for (SettingsProblem problem : e.problems()) {
                invocation.printDiagnostic(problem.toString());
            }
            throw new CommandException(ExitCode.USAGE, file + " is not valid; the entry host was not started", e);
        } catch (AcaciafoldException e) {
            throw new CommandException(ExitCode.FAILED, e.getMessage(), e);
        }
    }

    private static ExitCode run(Invocation invocation) throws CommandException {
        String file = invocation
                .value(SETTINGS)
                .orElseThrow(() -> new CommandException(ExitCode.USAGE, "give --settings FILE"));
        EntryHost host = start(invocation, file);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(host, stopped), "stop"));
        try {
            host.ended().block();
            stopped.await();
            return ExitCode.DONE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        } catch (RuntimeException e) {
            throw new CommandException(ExitCode.FAILED, "the entry host failed: " + e.getMessage(), e);
        }
    }

    /** Stops the host in a shutdown hook; without the halt, the JVM would exit with the exit code of the signal. */
    private static void stop(EntryHost host, CountDownLatch stopped) {
        boolean incomplete = host.stop();
        stopped.countDown();
        Runtime.getRuntime().halt(incomplete ? ExitCode.FAILED.code() : ExitCode.DONE.code());
    }
}
