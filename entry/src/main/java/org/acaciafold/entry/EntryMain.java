package org.acaciafold.entry;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.settings.EntrySettings;
import org.acaciafold.settings.EntrySettingsReader;
import org.acaciafold.settings.SettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The main class of the entry host on the users' platform. */
public final class EntryMain {
    private static final Logger LOG;

    static {
        HostLogging.install();
        LOG = LoggerFactory.getLogger(EntryMain.class);
    }

    /** Environment variable that holds the path of the settings file. */
    private static final String SETTINGS_FILE_VARIABLE = "ACACIAFOLD_NODE_FILE";

    private static final String TRAINING_RUN_OPTION = "--rehearse";
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_START_FAILED = 3;

    private EntryMain() {}

    /**
     * Runs until the process receives a signal to stop.
     *
     * @param arguments {@code --rehearse} does a training run on loopback, which records the startup archive
     */
    public static void main(String[] arguments) {
        SettingsReload.ignoreSignal();
        try {
            if (List.of(arguments).contains(TRAINING_RUN_OPTION)) {
                TrainingRun.run();
                System.exit(0);
            }
            Path file = Path.of(System.getenv(SETTINGS_FILE_VARIABLE));
            EntrySettings settings = EntrySettingsReader.read(file);
            new SettingsReload(file, settings).onSignal();
            EntryHost host = EntryHost.start(settings);
            Runtime.getRuntime().addShutdownHook(new Thread(host::stop, "stop"));
            new CountDownLatch(1).await();
        } catch (SettingsException e) {
            LOG.error("invalid settings: {}", e.getMessage());
            System.exit(EXIT_INVALID_SETTINGS);
        } catch (AcaciafoldException e) {
            LOG.error("cannot start: {}", e.getMessage());
            System.exit(EXIT_START_FAILED);
        } catch (IOException e) {
            LOG.error("training run failed: {}", e.getMessage());
            System.exit(EXIT_START_FAILED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
