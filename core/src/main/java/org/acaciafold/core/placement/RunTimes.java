package org.acaciafold.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;

import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.WorkspaceId;

/** Run times and successes learnt for each job name of each workspace; the names used last are kept. */
final class RunTimes {
    private static final int MAX_NAMES = 4_096;

    private final Map<Name, Learnt> names = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Name, Learnt> eldest) {
            return size() > MAX_NAMES;
        }
    };
    private final boolean enabled;
    private long successes;

    RunTimes(boolean enabled) {
        this.enabled = enabled;
    }

    private record Name(WorkspaceId workspace, String name) {}

    private static final class Learnt {
        final RunTimeHistogram histogram = new RunTimeHistogram();
        long lastSuccess;
    }

    /** Returns the expected run time of a task in milliseconds at a quantile, the declared one until enough is known. */
    long expectedMs(JobSpec spec, double quantile) {
        Learnt learnt = enabled ? names.get(name(spec)) : null;
        return learnt == null
                ? spec.runTimeMs()
                : learnt.histogram.quantile(quantile).orElse(spec.runTimeMs());
    }

    /** Records a success and its run time. */
    void succeeded(JobSpec spec, long ranMs) {
        Learnt learnt = names.computeIfAbsent(name(spec), key -> new Learnt());
        learnt.lastSuccess = ++successes;
        learnt.histogram.add(ranMs);
    }

    /** Returns how many successes were recorded, to compare with {@link #succeededSince}. */
    long successes() {
        return successes;
    }

    /** Tells whether a job of the same name succeeded after a number of successes. */
    boolean succeededSince(JobSpec spec, long count) {
        Learnt learnt = names.get(name(spec));
        return learnt != null && learnt.lastSuccess > count;
    }

    private static Name name(JobSpec spec) {
        return new Name(spec.workspace(), spec.name());
    }
}
