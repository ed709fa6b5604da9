package org.acaciafold.core.placement;

import java.util.List;

import org.acaciafold.core.model.JobKind;

/** Detects jobs that can never run on the known workers, and rechecks them when the workers change. */
final class UnschedulableJobSystem {
    private final Tables tables;
    private long seenVersion;

    UnschedulableJobSystem(Tables tables) {
        this.tables = tables;
    }

    /** Marks a job as unschedulable if the known workers could never run it, and returns whether that is so. */
    boolean check(JobRow job) {
        int tasks = tasksAtOnce(job);
        if (tables.capacityCounts.fit(job.spec.demand(), tasks)) {
            return false;
        }
        tables.tooLargeJobs.add(job);
        String reason = "no workers could run " + tasks + " tasks of this size at once";
        tables.markUnschedulable(job, reason, tables.capacityCounts.largest(job.spec.demand(), tasks), false);
        return true;
    }

    /** Clears the mark of jobs that fit after the workers have changed. */
    void run() {
        if (seenVersion != tables.capacityCounts.version()) {
            seenVersion = tables.capacityCounts.version();
            recheck();
        }
    }

    /** Reports the jobs that have become unschedulable. */
    void report(Tick tick) {
        tick.decisions.addAll(tables.unschedulableReports);
        tables.unschedulableReports.clear();
    }

    private void recheck() {
        for (JobRow job : List.copyOf(tables.tooLargeJobs)) {
            if (job.cancelled || !job.submitted) {
                tables.tooLargeJobs.remove(job);
            } else if (tables.capacityCounts.fit(job.spec.demand(), tasksAtOnce(job))) {
                tables.tooLargeJobs.remove(job);
                tables.clearUnschedulable(job);
            }
        }
    }

    private static int tasksAtOnce(JobRow job) {
        return job.spec.kind() instanceof JobKind.Gang ? job.waiting : 1;
    }
}
