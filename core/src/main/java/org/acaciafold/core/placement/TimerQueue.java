package org.acaciafold.core.placement;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/** A queue of timed actions, ordered by due time. */
final class TimerQueue {
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::atMs).thenComparingLong(Entry::sequence));
    private long sequence;

    private record Entry(long atMs, long sequence, TimedAction action) {}

    void add(long atMs, TimedAction action) {
        entries.add(new Entry(atMs, sequence++, action));
    }

    /** Removes and returns the next action that is due. */
    Optional<TimedAction> poll(long nowMs) {
        Entry first = entries.peek();
        if (first == null || first.atMs() > nowMs) {
            return Optional.empty();
        }
        return Optional.of(entries.poll().action());
    }
}
