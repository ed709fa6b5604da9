package org.acaciafold.entry;

import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;

/**
 * A bounded queue of log lines that never blocks, and counts the lines for which it had no room.
 *
 * <p>The last part of the queue is kept for warnings and errors, among them refusals and failures. When there is room again,
 * a line tells how many were dropped.
 */
public final class QueueAppender extends AsyncAppender {
    private static final AtomicLong DROPPED = new AtomicLong();
    private static final String LOGGER = QueueAppender.class.getName();

    private final AtomicLong untold = new AtomicLong();

    /** Returns how many lines this process has dropped. */
    static long dropped() {
        return DROPPED.get();
    }

    @Override
    protected void append(ILoggingEvent event) {
        boolean reserved = getRemainingCapacity() <= getDiscardingThreshold();
        if (getRemainingCapacity() == 0 || reserved && isDiscardable(event)) {
            DROPPED.incrementAndGet();
            untold.incrementAndGet();
            return;
        }
        super.append(event);
        long missing = reserved ? 0 : untold.getAndSet(0);
        if (missing > 0) {
            super.append(tell(missing));
        }
    }

    private ILoggingEvent tell(long missing) {
        LoggerContext context = (LoggerContext) getContext();
        return new LoggingEvent(
                LOGGER, context.getLogger(LOGGER), Level.WARN, "log lines dropped count={}", null, new Object[] {missing
                });
    }
}
