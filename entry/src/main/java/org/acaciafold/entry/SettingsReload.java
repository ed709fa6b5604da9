package org.acaciafold.entry;

import java.nio.file.Path;

import org.acaciafold.settings.EntrySettings;
import org.acaciafold.settings.EntrySettingsReader;
import org.acaciafold.settings.SettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the settings file again when the process receives SIGHUP.
 *
 * <p>A host's addresses and bounds stay the same while the process runs, so a changed file is only checked and logged;
 * it applies from the next start. Without a handler the signal would end the process.
 */
final class SettingsReload {
    private static final Logger LOG = LoggerFactory.getLogger(SettingsReload.class);
    private static final String RELOAD_SIGNAL = "HUP";

    private final Path file;
    private final EntrySettings running;

    SettingsReload(Path file, EntrySettings running) {
        this.file = file;
        this.running = running;
    }

    /**
     * Keeps the signal from ending the process before the settings are read. A change that it announces is picked up by
     * that first read.
     */
    static void ignoreSignal() {
        Signals.handle(RELOAD_SIGNAL, () -> LOG.info("reload change=none, the settings have not been read yet"));
    }

    void onSignal() {
        Signals.handle(RELOAD_SIGNAL, this::reload);
    }

    /** Reads the file, compares it with the running settings and logs the result. */
    Outcome reload() {
        try {
            EntrySettings read = EntrySettingsReader.read(file);
            if (read.equals(running)) {
                LOG.info("reload settings={} change=none", file);
                return Outcome.UNCHANGED;
            }
            LOG.warn("reload settings={} change=after the next start running={} read={}", file, running, read);
            return Outcome.CHANGED;
        } catch (SettingsException e) {
            LOG.error("reload settings={} change=none, the file is invalid: {}", file, e.getMessage());
            return Outcome.WRONG;
        }
    }

    /** The result of a reload. */
    enum Outcome {
        UNCHANGED,
        CHANGED,
        WRONG
    }
}
