package org.acaciafold.coordination;

import java.util.Optional;

import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.StopMode;

/** A task that runs or may run on a worker. */
final class PlacedTask {
    private final TaskId task;
    private final WorkerId worker;
    private final long attempt;
    private final JobSpec spec;
    private boolean confirmed;
    private long absentAfterMs;
    private StopMode stop;
    private long stopSentMs = Times.NEVER_MS;

    private PlacedTask(TaskId task, WorkerId worker, long attempt, JobSpec spec) {
        this.task = task;
        this.worker = worker;
        this.attempt = attempt;
        this.spec = spec;
    }

    /** Creates a task whose start is about to be sent; until the start completes, no view proves its absence. */
    static PlacedTask ofStart(TaskId task, WorkerId worker, long attempt, JobSpec spec) {
        PlacedTask placed = new PlacedTask(task, worker, attempt, spec);
        placed.absentAfterMs = Long.MAX_VALUE;
        return placed;
    }

    /** Creates a task that its worker has reported as running. */
    static PlacedTask ofReport(TaskId task, WorkerId worker, long attempt, JobSpec spec, long nowMs) {
        PlacedTask placed = new PlacedTask(task, worker, attempt, spec);
        placed.confirm(nowMs);
        return placed;
    }

    long attempt() {
        return attempt;
    }

    /** Records that the worker has executed the start. */
    void confirm(long nowMs) {
        confirmed = true;
        absentAfterMs = Math.min(absentAfterMs, nowMs);
    }

    /** Returns whether the worker has confirmed the start of the task. */
    boolean confirmed() {
        return confirmed;
    }

    /** Returns whether a view without the task, requested at the given time, proves that the task does not run. */
    boolean isAbsent(long viewSentMs) {
        return viewSentMs > absentAfterMs;
    }

    AttemptId id() {
        return new AttemptId(task, attempt);
    }

    JobSpec spec() {
        return spec;
    }

    /** Returns how the task is to be stopped, empty if no stop was requested. */
    Optional<StopMode> stop() {
        return Optional.ofNullable(stop);
    }

    void stop(StopMode mode) {
        if (stop != StopMode.KILL) {
            stop = mode;
        }
    }

    long stopSentMs() {
        return stopSentMs;
    }

    void stopSentMs(long value) {
        stopSentMs = value;
    }

    TaskId task() {
        return task;
    }

    /** Records that the start was not answered; the worker may execute it until its control lease has ended. */
    void unresolved(long leaseEndedMs) {
        absentAfterMs = leaseEndedMs;
    }

    WorkerId worker() {
        return worker;
    }
}
