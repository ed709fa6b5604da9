package org.acaciafold.core.placement;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/** What is to be done later, in the order of time. */
final class TimerQueue {
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::atMs).thenComparingLong(Entry::sequence));
    private long sequence;

    private record Entry(long atMs, long sequence, TimedAction action) {}

    void add(long atMs, TimedAction action) {
        entries.add(new Entry(atMs, sequence++, action));
    }

    /** Takes the next thing whose time has come. */
    Optional<TimedAction> poll(long nowMs) {
        Entry first = entries.peek();
        if (first == null || first.atMs() > nowMs) {
            return Optional.empty();
        }
        return Optional.of(entries.poll().action());
    }
}
