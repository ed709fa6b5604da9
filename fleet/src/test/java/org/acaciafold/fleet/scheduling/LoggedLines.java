package org.acaciafold.fleet.scheduling;

import java.util.List;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.slf4j.LoggerFactory;

/** Keeps the lines that a class logs, for tests of what operators can read. */
final class LoggedLines implements AutoCloseable {
    private final Logger logger;
    private final ListAppender<ILoggingEvent> written = new ListAppender<>();

    private LoggedLines(Logger logger) {
        this.logger = logger;
    }

    static LoggedLines of(Class<?> source) {
        LoggedLines lines = new LoggedLines((Logger) LoggerFactory.getLogger(source));
        lines.written.start();
        lines.logger.setLevel(Level.INFO);
        lines.logger.setAdditive(false);
        lines.logger.addAppender(lines.written);
        return lines;
    }

    @Override
    public void close() {
        logger.detachAppender(written);
        logger.setLevel(null);
        logger.setAdditive(true);
    }

    /** Returns the lines that begin with a text, in their order. */
    List<String> startingWith(String text) {
        return written.list.stream()
                .map(ILoggingEvent::getFormattedMessage)
                .filter(line -> line.startsWith(text))
                .toList();
    }
}
