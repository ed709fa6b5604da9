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
    final List<WorkerRow> held = new ArrayList<>(0);

    final Map<String, Integer> perRack = new HashMap<>(0);
    boolean homed;
    boolean cancelled;
    boolean queued;
    /** Whether its waiting tasks count in what its workspace wants. */
    boolean counted = true;

    boolean allotmentTimer;
    long submittedMs;
    /** The time in milliseconds since which the job has not fitted, 0 when it has not been tried. */
    long blockedSinceMs;

    long heldUntilMs;
    /** The time in milliseconds before which no room is kept for the job. */
    long reserveAtMs;

    int waiting;
    int delayed;
    int running;
    int succeeded;
    int failed;
    int nextFresh;
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
    boolean live() {
        return homed && !cancelled && problem.isEmpty();
    }

    boolean service() {
        return spec.kind() instanceof JobKind.Service;
    }

    /** Tells whether a task can be taken now; tasks that wait for their next try are not counted. */
    boolean hasReadyTask() {
        if (gang() && (running > 0 || delayed > 0)) {
            return false;
        }
        skipTaken();
        return !retries.isEmpty() || nextFresh < spec.kind().tasks();
    }

    /** Takes the next task that waits. */
    TaskRow takeTask(long firstAttempt) {
        if (!retries.isEmpty()) {
            return retries.poll();
        }
        skipTaken();
        TaskRow task = new TaskRow(this, nextFresh, firstAttempt);
        tasks.put(nextFresh, task);
        nextFresh++;
        return task;
    }

    private void skipTaken() {
        while (nextFresh < spec.kind().tasks() && (ended.get(nextFresh) || tasks.containsKey(nextFresh))) {
            nextFresh++;
        }
    }
}
