package org.acaciafold.standin;

/**
 * What is wrong with the platform.
 *
 * @param mode the kind of fault
 * @param slowMs by how much each answer is late in milliseconds, for {@link Mode#SLOW}
 */
public record PlatformFault(Mode mode, long slowMs) {
    /** The kinds of fault. */
    public enum Mode {
        /** Nothing is wrong. */
        UP,
        /** Nothing is carried out. */
        DOWN,
        /** Everything is carried out late. */
        SLOW,
        /** Everything is carried out and no answer is sent. */
        LOSE_ANSWERS
    }
}
