package org.acaciafold.core.model;

/** A monotonic clock in milliseconds. Its origin is arbitrary and differs between processes. */
@FunctionalInterface
public interface Clock {
    /**
     * Returns the monotonic clock of this process.
     *
     * @return a clock that reads {@link System#nanoTime}
     */
    static Clock system() {
        return () -> System.nanoTime() / 1_000_000L;
    }

    /**
     * Returns the current time.
     *
     * @return milliseconds since an arbitrary origin, never decreasing
     */
    long nowMs();
}
