package org.acaciafold.fleet.scheduling;

import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.TreeMap;

/** The ends that a worker has listed, and the batches after which they may be acknowledged. */
final class EndsToRecord {
    private final NavigableMap<Long, Long> lastEndByBatch = new TreeMap<>();

    /** Adds the ends up to a number, which a batch records. */
    void add(long batch, long lastEnd) {
        lastEndByBatch.put(batch, lastEnd);
    }

    void clear() {
        lastEndByBatch.clear();
    }

    /** Adds ends that need no record; they are acknowledged with those before them. */
    void extend(long lastEnd) {
        lastEndByBatch.put(lastEndByBatch.lastKey(), lastEnd);
    }

    boolean isEmpty() {
        return lastEndByBatch.isEmpty();
    }

    /** Removes the ends that are recorded with a batch; returns the number of the last one. */
    OptionalLong recorded(long batch) {
        NavigableMap<Long, Long> recorded = lastEndByBatch.headMap(batch, true);
        OptionalLong last = recorded.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(recorded.lastEntry().getValue());
        recorded.clear();
        return last;
    }
}
