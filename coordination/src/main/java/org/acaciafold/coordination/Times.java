package org.acaciafold.coordination;

/** Special readings of the clock. */
final class Times {
    /** A time before every other, in milliseconds, to which durations can be added without overflow. */
    static final long NEVER_MS = Long.MIN_VALUE / 4;

    private Times() {}
}
