package org.acaciafold.entry;

import java.nio.file.Path;

import org.acaciafold.settings.EntrySettings;
import org.acaciafold.settings.EntrySettingsReader;
import org.acaciafold.settings.SettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the settings file again when the process gets SIGHUP.
 *
 * <p>A host's addresses and bounds hold for its whole life, so what has changed is checked and logged, and applies from the
 * next start. Without a handler the signal would end the process.
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

    /** Keeps the signal from ending the process before the settings are read, which takes in what it tells of. */
    static void ignoreSignal() {
        Signals.handle(RELOAD_SIGNAL, () -> LOG.info("reload change=none, the settings are not read yet"));
    }

    void onSignal() {
        Signals.handle(RELOAD_SIGNAL, this::reload);
    }

    /** Reads the file and tells how it compares with the running settings. */
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
            LOG.error("reload settings={} change=none, the file is wrong: {}", file, e.getMessage());
            return Outcome.WRONG;
        }
    }

    /** What a reload has found. */
    enum Outcome {
        UNCHANGED,
        CHANGED,
        WRONG
    }
}
