package org.acaciafold.entry;

import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs parts of a term until one of them fails unexpectedly.
 *
 * <p>Such a failure leaves tables half changed: an order may be noted and never sent. Nothing further runs then, and the
 * term is given up, so that the next one reads the records again.
 */
final class FailFastRunner {
    private static final Logger LOG = LoggerFactory.getLogger(FailFastRunner.class);

    private final Consumer<String> onFailure;
    private boolean failed;

    /** Creates a barrier that tells the first failure. */
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
