package org.acaciafold.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

class LoggingTest {
    /** Many times the lines of the queue, at a rate that no reader follows. */
    private static final int LINES = 50_000;

    private static final Duration LIMIT = Duration.ofSeconds(20);

    @Test
    void shouldNotWaitWhenNobodyReadsStandardOutput() throws Exception {
        CountDownLatch reading = new CountDownLatch(1);
        PrintStream original = System.out;
        LoggerContext context = new LoggerContext();
        System.setOut(new PrintStream(new Unread(reading), true));
        try {
            JoranConfigurator configurator = new JoranConfigurator();
            configurator.setContext(context);
            configurator.doConfigure(LoggingTest.class.getResource("/logback.xml"));
            Logger log = context.getLogger("test");

            assertTimeoutPreemptively(LIMIT, () -> {
                for (int i = 0; i < LINES; i++) {
                    log.info("decision number={} outcome=started", i);
                }
            });
        } finally {
            reading.countDown();
            System.setOut(original);
            context.stop();
        }
    }

    /** A pipe whose reader has stopped. */
    private static final class Unread extends OutputStream {
        private final CountDownLatch reading;

        private Unread(CountDownLatch reading) {
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
