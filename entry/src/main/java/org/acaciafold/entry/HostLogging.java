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
 * Configures the logging of a host process: JSON lines on standard output, through a bounded queue that never blocks.
 *
 * <p>It is configured in code, since parsing an XML file took a quarter of the processor time of a start.
 */
final class HostLogging {
    /** System property that names a Logback configuration file to use instead. */
    private static final String CONFIGURATION_FILE = "logback.configurationFile";

    /** Twice the 1,200 lines that the leader of 250 workers writes in its busiest second. */
    private static final int LINES_PER_SECOND = 2_400;

    /** Capacity of the queue, less than a second of lines at the maximum rate. */
    private static final int QUEUE_LINES = 2_048;

    /** Part of the queue that is reserved for warnings and errors, a quarter of it. */
    private static final int RESERVED_LINES = 512;

    private static final int MAX_FLUSH_MS = 500;

    private static final ThreadLocal<Boolean> QUIET = ThreadLocal.withInitial(() -> false);

    private HostLogging() {}

    /** Configures the logging of this process, unless a configuration file is given. */
    static void install() {
        if (System.getProperty(CONFIGURATION_FILE) == null
                && LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            configure(context);
        }
    }

    /** Runs a task on this thread without its lines below the level of a warning. */
    static void quietly(Runnable task) {
        QUIET.set(true);
        try {
            task.run();
        } finally {
            QUIET.set(false);
        }
    }

    /** Returns whether lines of this thread below the level of a warning are left out. */
    static boolean quiet() {
        return QUIET.get();
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

    /** Creates the queue, so that the host does not block when the reader of standard output stops reading. */
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
