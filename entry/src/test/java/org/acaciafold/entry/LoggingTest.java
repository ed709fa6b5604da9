package org.acaciafold.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.read.ListAppender;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LoggingTest {
    /** Many times the capacity of the queue, written faster than any reader reads. */
    private static final int LINES = 50_000;

    private static final int LINES_PER_SECOND = 2_400;
    private static final String DROPPED = "log lines dropped count=";

    private static final Duration LIMIT = Duration.ofSeconds(20);

    @Test
    void shouldNotBlockWhenNobodyReadsStandardOutput() throws Exception {
        CountDownLatch reading = new CountDownLatch(1);
        PrintStream original = System.out;
        LoggerContext context = context();
        System.setOut(new PrintStream(new BlockedOutputStream(reading), true));
        try {
            HostLogging.configure(context);
            Logger log = context.getLogger("test");
            long before = QueueAppender.dropped();

            assertTimeoutPreemptively(LIMIT, () -> {
                for (int i = 0; i < LINES; i++) {
                    log.info("decision number={} outcome=started", i);
                }
            });
            assertTrue(QueueAppender.dropped() - before > LINES / 2);
        } finally {
            reading.countDown();
            System.setOut(original);
            context.stop();
        }
    }

    @Test
    void shouldKeepWarningsAndReportHowManyLinesWereDroppedWhenTheQueueIsFull() throws Exception {
        CountDownLatch reading = new CountDownLatch(1);
        LoggerContext context = context();
        ListAppender<ILoggingEvent> written = new ListAppender<>() {
            @Override
            protected void append(ILoggingEvent event) {
                awaitUninterruptibly(reading);
                super.append(event);
            }
        };
        QueueAppender queue = queue(context, written, 100, Integer.MAX_VALUE);
        Logger log = context.getLogger("test");
        long before = QueueAppender.dropped();

        for (int i = 0; i < 10 * 100; i++) {
            log.info("decision number={} outcome=started", i);
        }
        log.warn("request status=503");
        reading.countDown();
        Awaitility.await().until(() -> queue.getNumberOfElementsInQueue() == 0);
        log.info("decision after");

        long dropped = QueueAppender.dropped() - before;
        // as many lines as the queue holds are kept, and the writing thread may have taken out as many again
        assertTrue(dropped >= 10 * 100 - 2 * 100, "dropped " + dropped);
        // the writing thread may take out a batch in between, which frees space for a report of the first drops
        Awaitility.await().until(() -> reportedDrops(written) == dropped);
        assertTrue(messages(written).contains("request status=503"));
        context.stop();
    }

    /** The rate is twice the lines of a leader's busiest second; this test writes ten times those lines. */
    @Test
    void shouldLimitItsLinesToTheRateWhenTheLoadIsTenfold() throws Exception {
        LoggerContext context = context();
        ListAppender<ILoggingEvent> written = new ListAppender<>();
        QueueAppender queue = queue(context, written, LINES, LINES_PER_SECOND);
        Logger log = context.getLogger("test");
        long before = QueueAppender.dropped();
        long beganAtNanos = System.nanoTime();

        for (int i = 0; i < 10 * LINES_PER_SECOND / 2; i++) {
            log.info("decision number={} outcome=started", i);
            if (i % 100 == 0) {
                log.warn("request status=503");
            }
        }
        long seconds = Duration.ofNanos(System.nanoTime() - beganAtNanos).toSeconds() + 2;
        Awaitility.await().until(() -> queue.getNumberOfElementsInQueue() == 0);
        queue.stop();

        long decisions = messages(written).stream()
                .filter(text -> text.startsWith("decision"))
                .count();
        assertTrue(decisions <= seconds * LINES_PER_SECOND, "wrote " + decisions + " lines in " + seconds + " s");
        assertEquals(10 * LINES_PER_SECOND / 2, decisions + QueueAppender.dropped() - before);
        assertEquals(
                10 * LINES_PER_SECOND / 2 / 100,
                messages(written).stream().filter("request status=503"::equals).count());
        context.stop();
    }

    /** Guards against lines that tell of decisions about the jobs of a rehearsal, which do not exist. */
    @Test
    void shouldLeaveOutDecisionsButKeepWarningsWhenATaskRunsQuietly() {
        LoggerContext context = context();
        ListAppender<ILoggingEvent> written = new ListAppender<>();
        QueueAppender queue = queue(context, written, 100, Integer.MAX_VALUE);
        Logger log = context.getLogger("test");

        HostLogging.quietly(() -> {
            log.info("decision about a rehearsed job");
            log.warn("warning");
        });
        log.info("decision after");
        queue.stop();

        assertEquals(List.of("warning", "decision after"), messages(written));
        context.stop();
    }

    /** Creates a separate context; without an MDC adapter every line would fail before it is queued. */
    private static LoggerContext context() {
        LoggerContext context = new LoggerContext();
        context.setMDCAdapter(new LogbackMDCAdapter());
        return context;
    }

    /** Starts a queue in front of an appender, and attaches it to the context's test logger. */
    private static QueueAppender queue(
            LoggerContext context, ListAppender<ILoggingEvent> written, int size, int linesPerSecond) {
        written.setContext(context);
        written.start();
        QueueAppender queue = new QueueAppender();
        queue.setContext(context);
        queue.setLinesPerSecond(linesPerSecond);
        queue.setQueueSize(size);
        queue.setDiscardingThreshold(25);
        queue.setNeverBlock(true);
        queue.addAppender(written);
        queue.start();
        context.getLogger("test").addAppender(queue);
        return queue;
    }

    /** Returns the sum of the dropped lines over all lines that report them. */
    private static long reportedDrops(ListAppender<ILoggingEvent> written) {
        return messages(written).stream()
                .filter(text -> text.startsWith(DROPPED))
                .mapToLong(text -> Long.parseLong(text.substring(DROPPED.length())))
                .sum();
    }

    private static List<String> messages(ListAppender<ILoggingEvent> written) {
        return List.copyOf(written.list).stream()
                .map(ILoggingEvent::getFormattedMessage)
                .toList();
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** An output stream that blocks, like a pipe whose reader has stopped. */
    private static final class BlockedOutputStream extends OutputStream {
        private final CountDownLatch reading;

        private BlockedOutputStream(CountDownLatch reading) {
            this.reading = reading;
        }

        @Override
        public void write(int b) throws IOException {
            try {
                reading.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
        }
    }
}
