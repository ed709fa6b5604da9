package org.acaciafold.entry;

import java.nio.file.Files;
import java.nio.file.Path;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.acaciafold.settings.EntrySettingsReader;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.LoggerFactory;

import static org.junit.jupiter.api.Assertions.assertEquals;

class SettingsReloadTest {
    private static final String SETTINGS = """
            [host]
            id = edge-1
            failure-domain = north
            [listen]
            consumers = 127.0.0.1:8000
            readiness = 127.0.0.1:8001
            peers = 127.0.0.1:8002
            [platform]
            store = 127.0.0.1:8003
            [cluster]
            secret = a-secret-of-the-cluster
            """;

    @TempDir
    private Path folder;

    @ParameterizedTest
    @CsvSource({"north, north, UNCHANGED", "north, south, CHANGED", "north, '', WRONG"})
    void shouldReportWhatChangedWhenTheFileIsReadAgain(String from, String to, SettingsReload.Outcome outcome)
            throws Exception {
        Path file = folder.resolve("entry.ini");
        Files.writeString(file, SETTINGS);
        SettingsReload reload = new SettingsReload(file, EntrySettingsReader.read(file));

        Files.writeString(file, SETTINGS.replace(from, to));

        assertEquals(outcome, reload.reload());
    }

    @Test
    void shouldKeepRunningAndReadTheFileAgainWhenTheProcessIsSignalled() throws Exception {
        Path file = folder.resolve("entry.ini");
        Files.writeString(file, SETTINGS);
        ListAppender<ILoggingEvent> lines = new ListAppender<>();
        Logger logger = (Logger) LoggerFactory.getLogger(SettingsReload.class);
        lines.start();
        logger.addAppender(lines);
        try {
            new SettingsReload(file, EntrySettingsReader.read(file)).onSignal();
            raise("HUP");
            Awaitility.await().until(() -> !lines.list.isEmpty());
            assertEquals(
                    "reload settings=" + file + " change=none",
                    lines.list.getFirst().getFormattedMessage());
        } finally {
            logger.detachAppender(lines);
        }
    }

    private static void raise(String name) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        signal.getMethod("raise", signal)
                .invoke(null, signal.getConstructor(String.class).newInstance(name));
    }
}
