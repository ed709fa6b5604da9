package org.acaciafold.standin;

/**
 * A fault that the emulated platform injects.
 *
 * @param mode the kind of fault
 * @param slowMs the delay before each request is executed in milliseconds, for {@link Mode#SLOW}
 */
public record PlatformFault(Mode mode, long slowMs) {
    /** The kinds of fault. */
    public enum Mode {
        /** No fault. */
        UP,
        /** No request is executed; each is answered with an error. */
        DOWN,
        /** Requests are executed after a delay. */
        SLOW,
        /** Requests are executed, but each is answered with an error instead of its result. */
        LOSE_ANSWERS
    }
}
