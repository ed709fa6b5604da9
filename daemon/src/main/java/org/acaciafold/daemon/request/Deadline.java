package org.acaciafold.daemon.request;

import java.time.Duration;

import org.acaciafold.core.model.Clock;

/**
 * When a caller gives up.
 *
 * @param clock the clock of the process
 * @param atMs the time on that clock in milliseconds
 */
record Deadline(Clock clock, long atMs) {
    /** Returns the deadline after some milliseconds. */
    static Deadline after(Clock clock, long leftMs) {
        return new Deadline(clock, clock.nowMs() + leftMs);
    }

    Duration left() {
        return Duration.ofMillis(leftMs());
    }

    /** Returns the milliseconds left, at least 1 so that timers accept it. */
    long leftMs() {
        return Math.max(1, atMs - clock.nowMs());
    }
}
