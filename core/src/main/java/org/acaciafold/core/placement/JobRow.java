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
    final BitSet endedTasks = new BitSet();
    final Map<Integer, TaskRow> tasks = new HashMap<>(4);
    final Deque<TaskRow> retries = new ArrayDeque<>(0);
    /** The workers on which tasks failed and whose failures count against the job. */
    final Set<WorkerRow> failedOn = new LinkedHashSet<>(0);
    /** The workers reserved for the job. */
    final List<WorkerRow> reservedWorkers = new ArrayList<>(0);

    final Map<String, Integer> replicasPerRack = new HashMap<>(0);
    /** Whether the job was submitted to this slice; false if only reports of its attempts are known. */
    boolean submitted;

    boolean cancelled;
    boolean queued;
    /** Whether its waiting tasks count towards the demand of its workspace. */
    boolean countedInDemand = true;

    boolean allotmentTimer;
    long submittedMs;
    /** The time in milliseconds since which the job has not fitted; 0 if it has not been tried. */
    long blockedSinceMs;

    long reservedUntilMs;
    /** The time in milliseconds before which no capacity is reserved for the job. */
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

    /** Returns whether tasks of the job may start. */
    boolean schedulable() {
        return submitted && !cancelled && problem.isEmpty();
    }

    boolean service() {
        return spec.kind() instanceof JobKind.Service;
    }

    /** Returns whether a task can be taken now; tasks whose retry delay has not passed do not count. */
    boolean hasReadyTask() {
        if (gang() && (running > 0 || delayed > 0)) {
            return false;
        }
        skipKnownTasks();
        return !retries.isEmpty() || nextNewTask < spec.kind().tasks();
    }

    /** Removes and returns the next waiting task, retries first. */
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
        while (nextNewTask < spec.kind().tasks() && (endedTasks.get(nextNewTask) || tasks.containsKey(nextNewTask))) {
            nextNewTask++;
        }
    }
}
