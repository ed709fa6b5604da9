package org.acaciafold.daemon;

import java.util.Iterator;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.OutputStreamAppender;
import org.acaciafold.settings.ObservabilitySettings;
import org.slf4j.ILoggerFactory;
import org.slf4j.LoggerFactory;

/** Sets the format of the log; by default it is plain text, as configured in {@code logback.xml}. */
public final class LogSetup {
    private LogSetup() {}

    /**
     * Applies the settings to the loggers of this process.
     *
     * @param observation the settings that choose the format
     */
    public static void apply(ObservabilitySettings observation) {
        ILoggerFactory factory = LoggerFactory.getILoggerFactory();
        if (factory instanceof LoggerContext context) {
            apply(observation, context);
        }
    }

    static void apply(ObservabilitySettings observation, LoggerContext context) {
        if (!observation.jsonLogs()) {
            return;
        }
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        Iterator<Appender<ILoggingEvent>> appenders = root.iteratorForAppenders();
        while (appenders.hasNext()) {
            if (appenders.next() instanceof OutputStreamAppender<ILoggingEvent> appender) {
                writeJson(appender, context);
            }
        }
    }

    private static void writeJson(OutputStreamAppender<ILoggingEvent> appender, LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.start();
        appender.stop();
        appender.setEncoder(encoder);
        appender.start();
    }
}
