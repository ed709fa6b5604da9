package org.acaciafold.fleet.fuzz;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.StepName;
import org.acaciafold.fleet.StepSpec;
import org.acaciafold.fleet.TaskName;

/**
 * Checks that no accepted task stands still that could run.
 *
 * <p>Once all faults have ended, a job must have something running while a task's turn has come, there is capacity for
 * it twice over, and both its workspace and its service use under half of what they have. A task that lasts must run
 * at any calm time, from some seconds after its last run, while a worker has room for it.
 */
final class Standstill {
    static final String RULE = "LOST: ";
    static final long PERIOD_MS = 200;

    static final long SPAN_MS = 3_000;
    private static final long CALM_MS = SPAN_MS + 4_000;
    private static final long AFTER_LAST_RUN_MS = 6_000;
    private static final int TWICE = 2;

    private final Timeline timeline;
    private final Fleet fleet;
    private final Limits limits;
    private final Oracle oracle;
    private final Function<String, String> trace;
    private final Map<Object, Long> sinceMs = new HashMap<>();
    private final Set<String> reported = new HashSet<>();

    /**
     * Creates the check.
     *
     * @param trace what the scheduler believes of a job
     */
    Standstill(Timeline timeline, Fleet fleet, Limits limits, Oracle oracle, Function<String, String> trace) {
        this.timeline = timeline;
        this.fleet = fleet;
        this.limits = limits;
        this.oracle = oracle;
        this.trace = trace;
    }

    /** Checks the jobs that are neither cancelled nor ended. */
    void check(List<Job> open, boolean faultsOver) {
        for (Job job : open) {
            boolean idle = faultsOver && oracle.usesNothing(job);
            for (int i = 0; i < job.steps().size(); i++) {
                if (job.steps().get(i).longRunning()) {
                    checkLasting(job, i);
                } else {
                    checkWaiting(job, i, idle);
                }
            }
        }
    }

    private void checkLasting(Job job, int index) {
        StepSpec step = job.steps().get(index);
        for (int i = 0; i < step.count(); i++) {
            TaskName task = new TaskName(job.id(), 0, index, i);
            long dueMs = Math.max(oracle.lastEndMs(task), oracle.acceptedMs(job.id())) + AFTER_LAST_RUN_MS;
            boolean standing = !oracle.running(task)
                    && timeline.nowMs() >= dueMs
                    && workspaceHalfFree(job)
                    && vacancies(job, index) >= 1;
            observe("lasting", job, task, standing);
        }
    }

    private void checkWaiting(Job job, int index, boolean idle) {
        StepSpec step = job.steps().get(index);
        StepName name = new StepName(job.id(), 0, index);
        int together = step.gang() ? step.count() : 1;
        boolean standing = idle
                && oracle.turnHasCome(job, index)
                && fleet.usedShare(job.route().service()) < 0.5
                && workspaceHalfFree(job)
                && (!step.gang() || fitsLimit(job, together * step.each().cpuMillis()))
                && vacancies(job, index) >= TWICE * together;
        observe(step.gang() ? "gang" : "single", job, name, standing);
    }

    private void observe(String kind, Job job, Object key, boolean standing) {
        if (!standing) {
            sinceMs.remove(key);
            return;
        }
        long since = sinceMs.computeIfAbsent(key, unknown -> timeline.nowMs());
        boolean broken = timeline.nowMs() - since >= SPAN_MS && timeline.calmFor(CALM_MS);
        if (broken && reported.add(job.id())) {
            oracle.check(
                    false,
                    RULE + kind + " " + key + " stands still at " + timeline.nowMs() + " since " + since + "; "
                            + job.route() + " " + job.steps() + trace.apply(job.id()));
        }
    }

    private boolean workspaceHalfFree(Job job) {
        return 2 * oracle.usedMillis(job.workspace()) < limits.currentMillis(job.workspace(), timeline.nowMs());
    }

    private boolean fitsLimit(Job job, long millis) {
        return oracle.usedMillis(job.workspace()) + millis <= limits.currentMillis(job.workspace(), timeline.nowMs());
    }

    /** Returns how many tasks fit on the allowed workers that are in service. */
    private int vacancies(Job job, int index) {
        StepSpec step = job.steps().get(index);
        StepName name = new StepName(job.id(), 0, index);
        String service = job.route().service();
        boolean advised = job.route().advice().isPresent();
        int sum = 0;
        for (FakeWorker worker : fleet.workers.values()) {
            if (fleet.usable(worker) && fleet.allowed(worker, name, step, service, advised)) {
                sum += Math.max(0, Fleet.vacancies(worker, name, step));
            }
        }
        return sum;
    }
}
