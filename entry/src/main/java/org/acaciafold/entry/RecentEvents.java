package org.acaciafold.entry;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Limits how many events of one kind may happen within a sliding period.
 *
 * <p>Example: {@code if (events.permits(nowMs)) { act(); events.add(nowMs); }}
 */
final class RecentEvents {
    private final int limit;
    private final long periodMs;
    private final Queue<Long> timesMs = new ArrayDeque<>();

    /**
     * Creates a limit without events.
     *
     * @param limit the largest number of events
     * @param periodMs the length of the period, in milliseconds
     */
    RecentEvents(int limit, long periodMs) {
        this.limit = limit;
        this.periodMs = periodMs;
    }

    /** Returns whether another event may happen at a time, in milliseconds of a monotonic clock. */
    boolean permits(long nowMs) {
        while (!timesMs.isEmpty() && nowMs - timesMs.peek() >= periodMs) {
            timesMs.poll();
        }
        return timesMs.size() < limit;
    }

    /** Records an event. */
    void add(long nowMs) {
        timesMs.add(nowMs);
    }
}
