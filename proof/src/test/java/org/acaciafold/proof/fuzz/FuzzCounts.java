package org.acaciafold.proof.fuzz;

import java.util.EnumMap;
import java.util.Map;

/** Counts events in fuzz cases, to show that the cases reach the behaviour that they are meant to test. */
final class FuzzCounts {
    enum Kind {
        JOBS_ACCEPTED,
        JOBS_SUCCEEDED,
        JOBS_FAILED,
        JOBS_CANCELLED,
        TASK_STARTS,
        SLICE_WRITES,
        FENCED_COMMANDS,
        EDITS_ACCEPTED,
        HOLDS_EXECUTED,
        HOLDS_REPEATED
    }

    private final Map<Kind, Long> counts = new EnumMap<>(Kind.class);

    void add(Kind kind) {
        counts.merge(kind, 1L, Long::sum);
    }

    void add(FuzzCounts that) {
        that.counts.forEach((kind, count) -> counts.merge(kind, count, Long::sum));
    }

    long count(Kind kind) {
        return counts.getOrDefault(kind, 0L);
    }

    @Override
    public String toString() {
        return counts.toString();
    }
}
