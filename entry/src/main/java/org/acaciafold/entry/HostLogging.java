package org.acaciafold.entry;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.status.NopStatusListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logging of a host process: JSON lines on standard output, bounded, never waiting for a reader.
 *
 * <p>Set up by calls, since reading an XML file took a quarter of the processor time of a start.
 */
final class HostLogging {
    /** Names a configuration file to be used instead. */
    private static final String CONFIGURATION_FILE = "logback.configurationFile";

    /** Twice the 1,200 lines that the leader of 250 workers writes in its busiest second. */
    private static final int LINES_PER_SECOND = 2_400;

    /** Less than a second of lines at that rate. */
    private static final int QUEUE_LINES = 2_048;

    /** What warnings and errors have to themselves, a quarter of the queue. */
    private static final int RESERVED_LINES = 512;

    private static final int MAX_FLUSH_MS = 500;

    private HostLogging() {}

    /** Sets up the logging of this process. */
    static void install() {
        if (System.getProperty(CONFIGURATION_FILE) == null
                && LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            configure(context);
        }
    }

    static void configure(LoggerContext context) {
        context.reset();
        context.getStatusManager().add(new NopStatusListener());
        context.getLogger("reactor").setLevel(Level.WARN);
        context.getLogger("io.netty").setLevel(Level.ERROR);
        context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.INFO);
        context.getLogger(Logger.ROOT_LOGGER_NAME).addAppender(queue(context, console(context)));
    }

    private static ConsoleAppender<ILoggingEvent> console(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithThreadName(false);
        encoder.setWithContext(false);
        encoder.setWithMDC(false);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder);
        console.start();
        return console;
    }

    /** Takes lines so that a reader of standard output that stops reading does not stop a decision. */
    private static QueueAppender queue(LoggerContext context, ConsoleAppender<ILoggingEvent> console) {
        QueueAppender queue = new QueueAppender();
        queue.setContext(context);
        queue.setLinesPerSecond(LINES_PER_SECOND);
        queue.setQueueSize(QUEUE_LINES);
        queue.setDiscardingThreshold(RESERVED_LINES);
        queue.setNeverBlock(true);
        queue.setMaxFlushTime(MAX_FLUSH_MS);
        queue.addAppender(console);
        queue.start();
        return queue;
    }
}
