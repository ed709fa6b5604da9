package org.acaciafold.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;

import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.WorkspaceId;

/** Run times and successes per workspace and job name; the least recently used names are evicted. */
final class RunTimes {
    private static final int MAX_NAMES = 4_096;

    private final Map<JobName, JobHistory> names = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<JobName, JobHistory> eldest) {
            return size() > MAX_NAMES;
        }
    };
    private final boolean enabled;
    private long successes;

    RunTimes(boolean enabled) {
        this.enabled = enabled;
    }

    private record JobName(WorkspaceId workspace, String name) {}

    private static final class JobHistory {
        final RunTimeHistogram histogram = new RunTimeHistogram();
        long lastSuccess;
    }

    /** Returns the run time of a task in milliseconds at a quantile; the declared one while samples are too few. */
    long expectedMs(JobSpec spec, double quantile) {
        JobHistory history = enabled ? names.get(name(spec)) : null;
        return history == null
                ? spec.runTimeMs()
                : history.histogram.quantile(quantile).orElse(spec.runTimeMs());
    }

    /** Records a success and its run time. */
    void succeeded(JobSpec spec, long ranMs) {
        JobHistory history = names.computeIfAbsent(name(spec), key -> new JobHistory());
        history.lastSuccess = ++successes;
        history.histogram.add(ranMs);
    }

    /** Returns the number of recorded successes, to be passed to {@link #succeededSince}. */
    long successes() {
        return successes;
    }

    /** Returns whether a job of the same name succeeded after the given number of recorded successes. */
    boolean succeededSince(JobSpec spec, long count) {
        JobHistory history = names.get(name(spec));
        return history != null && history.lastSuccess > count;
    }

    private static JobName name(JobSpec spec) {
        return new JobName(spec.workspace(), spec.name());
    }
}
