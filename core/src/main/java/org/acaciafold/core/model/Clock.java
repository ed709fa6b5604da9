package org.acaciafold.core.model;

/** A monotonic clock in milliseconds; its zero has no meaning and differs between processes. */
@FunctionalInterface
public interface Clock {
    /**
     * Returns the clock of this process.
     *
     * @return a clock over the monotonic timer of the virtual machine
     */
    static Clock system() {
        return () -> System.nanoTime() / 1_000_000L;
    }

    /**
     * Returns the present reading.
     *
     * @return milliseconds since an arbitrary instant, never decreasing
     */
    long nowMs();
}
