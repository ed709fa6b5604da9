package org.acaciafold.entry;

import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the actions of a term until one of them fails unexpectedly.
 *
 * <p>Such a failure leaves tables partly changed: an order may be recorded there but never sent. So no further action
 * runs, and the term ends; the next term reads the records again.
 */
final class FailFastRunner {
    private static final Logger LOG = LoggerFactory.getLogger(FailFastRunner.class);

    private final Consumer<String> onFailure;
    private boolean failed;

    /** Creates a runner that reports the first failure. */
    FailFastRunner(Consumer<String> onFailure) {
        this.onFailure = onFailure;
    }

    void run(Runnable action) {
        if (failed) {
            return;
        }
        try {
            action.run();
        } catch (RuntimeException | StackOverflowError e) {
            failed = true;
            LOG.error("unexpected error in a term", e);
            onFailure.accept("unexpected error: " + e);
        }
    }
}
