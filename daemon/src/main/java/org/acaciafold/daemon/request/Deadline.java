package org.acaciafold.daemon.request;

import java.time.Duration;

import org.acaciafold.core.model.Clock;

/**
 * The time until which a caller waits for a response.
 *
 * @param clock the clock of the process
 * @param atMs the deadline on that clock in milliseconds
 */
record Deadline(Clock clock, long atMs) {
    /** Returns the deadline that is {@code leftMs} milliseconds from now. */
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
