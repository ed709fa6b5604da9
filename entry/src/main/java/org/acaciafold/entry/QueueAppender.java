package org.acaciafold.entry;

import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;

/**
 * A bounded, non-blocking queue of log lines that counts the lines it drops.
 *
 * <p>Lines below the level of a warning are limited to a rate per second. The last part of the queue is reserved for
 * warnings and errors, among them rejected requests and failures. Once the queue accepts lines again, it adds one with
 * the number of dropped lines.
 */
public final class QueueAppender extends AsyncAppender {
    private static final AtomicLong DROPPED = new AtomicLong();
    private static final String LOGGER = QueueAppender.class.getName();

    private static final long SECOND_MS = 1_000;

    private final AtomicLong unreportedDrops = new AtomicLong();
    private int linesPerSecond = Integer.MAX_VALUE;
    private long currentSecond;
    private int linesInSecond;

    /** Returns the number of lines that this process has dropped. */
    static long dropped() {
        return DROPPED.get();
    }

    /**
     * Sets the maximum number of lines per second below the level of a warning.
     *
     * @param value the number; unbounded by default
     */
    public void setLinesPerSecond(int value) {
        linesPerSecond = value;
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (HostLogging.quiet() && isDiscardable(event)) {
            return;
        }
        boolean reserved = getRemainingCapacity() <= getDiscardingThreshold();
        boolean overLimit = reserved || !withinRate(event.getTimeStamp());
        if (getRemainingCapacity() == 0 || overLimit && isDiscardable(event)) {
            DROPPED.incrementAndGet();
            unreportedDrops.incrementAndGet();
            return;
        }
        super.append(event);
        long unreported = reserved ? 0 : unreportedDrops.getAndSet(0);
        if (unreported > 0) {
            super.append(dropReport(unreported));
        }
    }

    private synchronized boolean withinRate(long atMs) {
        if (atMs / SECOND_MS != currentSecond) {
            currentSecond = atMs / SECOND_MS;
            linesInSecond = 0;
        }
        return ++linesInSecond <= linesPerSecond;
    }

    private ILoggingEvent dropReport(long unreported) {
        LoggerContext context = (LoggerContext) getContext();
        return new LoggingEvent(
                LOGGER, context.getLogger(LOGGER), Level.WARN, "log lines dropped count={}", null, new Object[] {
                    unreported
                });
    }
}
