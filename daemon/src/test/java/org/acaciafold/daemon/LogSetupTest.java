package org.acaciafold.daemon;

import java.nio.file.Files;
import java.nio.file.Path;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.FileAppender;
import org.acaciafold.settings.ObservabilitySettings;
import org.acaciafold.settings.TraceExport;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class LogSetupTest {
    // -- apply

    @ParameterizedTest
    @CsvSource({"false, false", "true, true"})
    void shouldWriteJsonLinesWhenConfigured(boolean json, boolean object, @TempDir Path directory) throws Exception {
        LoggerContext context = new LoggerContext();
        context.setMDCAdapter(new LogbackMDCAdapter());
        Path file = directory.resolve("log");
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(appender(context, file));

        LogSetup.apply(new ObservabilitySettings(json, TraceExport.NONE, ""), context);
        root.warn("a \"quoted\" word");

        context.stop();
        String line = Files.readString(file);
        assertEquals(object, line.startsWith("{") && line.contains("a \\\"quoted\\\" word"), line);
        assertEquals(1, line.lines().count());
    }

    private static FileAppender<ILoggingEvent> appender(LoggerContext context, Path file) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%level %msg%n");
        encoder.start();
        FileAppender<ILoggingEvent> appender = new FileAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.setFile(file.toString());
        appender.start();
        return appender;
    }
}
