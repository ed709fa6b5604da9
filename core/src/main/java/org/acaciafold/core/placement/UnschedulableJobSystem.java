package org.acaciafold.core.placement;

import java.util.List;

import org.acaciafold.core.model.JobKind;

/** Tells at once which jobs can never run, and lets them run when the workers change. */
final class UnschedulableJobSystem {
    private final Tables tables;
    private long seenVersion;

    UnschedulableJobSystem(Tables tables) {
        this.tables = tables;
    }

    /** Takes a job that no workers could ever run out of what may run. */
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

    /** Lets jobs run that new workers have room for. */
    void run() {
        if (seenVersion != tables.capacityCounts.version()) {
            seenVersion = tables.capacityCounts.version();
            recheck();
        }
    }

    /** Reports the jobs that have become unable to run. */
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
