package org.acaciafold.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.JobSpec;

/** A job in the table of jobs. */
final class JobRow {
    final JobSpec spec;
    final WorkspaceRow workspace;
    final JobClass jobClass;
    final long sequence;
    final BitSet ended = new BitSet();
    final Map<Integer, TaskRow> tasks = new HashMap<>(4);
    final Deque<TaskRow> retries = new ArrayDeque<>(0);
    /** The workers on which tasks failed that count against the job. */
    final Set<WorkerRow> failedOn = new LinkedHashSet<>(0);
    /** The workers kept for the job. */
    final List<WorkerRow> reservedWorkers = new ArrayList<>(0);

    final Map<String, Integer> perRack = new HashMap<>(0);
    boolean submitted;
    boolean cancelled;
    boolean queued;
    /** Whether its waiting tasks count in what its workspace wants. */
    boolean countedInDemand = true;

    boolean allotmentTimer;
    long submittedMs;
    /** The time in milliseconds since which the job has not fitted, 0 when it has not been tried. */
    long blockedSinceMs;

    long reservedUntilMs;
    /** The time in milliseconds before which no room is kept for the job. */
    long reserveAtMs;

    int waiting;
    int delayed;
    int running;
    int succeeded;
    int failed;
    int nextNewTask;
    Optional<String> problem = Optional.empty();

    JobRow(JobSpec spec, WorkspaceRow workspace, long sequence) {
        this.spec = spec;
        this.workspace = workspace;
        this.jobClass = JobClass.of(spec);
        this.sequence = sequence;
    }

    boolean gang() {
        return spec.kind() instanceof JobKind.Gang;
    }

    /** Tells whether tasks of the job may start. */
    boolean schedulable() {
        return submitted && !cancelled && problem.isEmpty();
    }

    boolean service() {
        return spec.kind() instanceof JobKind.Service;
    }

    /** Tells whether a task can be taken now; tasks that wait for their next try are not counted. */
    boolean hasReadyTask() {
        if (gang() && (running > 0 || delayed > 0)) {
            return false;
        }
        skipKnownTasks();
        return !retries.isEmpty() || nextNewTask < spec.kind().tasks();
    }

    /** Takes the next task that waits. */
    TaskRow takeTask(long firstAttempt) {
        if (!retries.isEmpty()) {
            return retries.poll();
        }
        skipKnownTasks();
        TaskRow task = new TaskRow(this, nextNewTask, firstAttempt);
        tasks.put(nextNewTask, task);
        nextNewTask++;
        return task;
    }

    private void skipKnownTasks() {
        while (nextNewTask < spec.kind().tasks() && (ended.get(nextNewTask) || tasks.containsKey(nextNewTask))) {
            nextNewTask++;
        }
    }
}
