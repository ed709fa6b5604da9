package org.acaciafold.entry;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The jobs whose creation got no answer from the store, which may still perform it.
 *
 * <p>Example: {@code if (unresolved.contains(id, nowMs)) { reportUnknown(); }}
 */
final class UnresolvedCreations {
    /** Far longer than the store takes to perform a write late. */
    static final long RETAIN_MS = 30_000;

    /** Bounds the memory while the store answers nothing; the oldest are dropped first. */
    static final int MAX_JOBS = 10_000;

    private final Map<String, Long> sinceMs = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_JOBS;
        }
    };

    /** Records that a write that creates a job got no answer, at a time in milliseconds of a monotonic clock. */
    void add(String job, long nowMs) {
        sinceMs.remove(job);
        sinceMs.put(job, nowMs);
    }

    /** Returns whether a write of the last seconds may still create the job. */
    boolean contains(String job, long nowMs) {
        Long addedMs = sinceMs.get(job);
        return addedMs != null && nowMs - addedMs < RETAIN_MS;
    }

    /** Records that the job exists. */
    void created(String job) {
        sinceMs.remove(job);
    }
}
