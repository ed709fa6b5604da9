package org.acaciafold.coordination;

/** Special values of clock times. */
final class Times {
    /** A time before all others, in milliseconds, to which durations can be added without overflow. */
    static final long NEVER_MS = Long.MIN_VALUE / 4;

    private Times() {}
}
