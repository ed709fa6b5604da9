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

    /** Records a start that is about to be sent; no view proves the task absent until it is resolved. */
    static PlacedTask starting(TaskId task, WorkerId worker, long attempt, JobSpec spec) {
        PlacedTask placed = new PlacedTask(task, worker, attempt, spec);
        placed.absentAfterMs = Long.MAX_VALUE;
        return placed;
    }

    /** Records a task that its worker reports. */
    static PlacedTask running(TaskId task, WorkerId worker, long attempt, JobSpec spec, long nowMs) {
        PlacedTask placed = new PlacedTask(task, worker, attempt, spec);
        placed.confirm(nowMs);
        return placed;
    }

    long attempt() {
        return attempt;
    }

    /** Records that the worker has carried the start out. */
    void confirm(long nowMs) {
        confirmed = true;
        absentAfterMs = Math.min(absentAfterMs, nowMs);
    }

    /** Returns whether the worker is known to have started the task. */
    boolean confirmed() {
        return confirmed;
    }

    /** Tells whether a view without the task proves that it does not run, given when the view was asked for. */
    boolean isAbsent(long viewSentMs) {
        return viewSentMs > absentAfterMs;
    }

    AttemptId id() {
        return new AttemptId(task, attempt);
    }

    JobSpec spec() {
        return spec;
    }

    /** Returns how the task is to be stopped, empty when it is not. */
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

    /** Records that no answer to the start came; it can be carried out until its control lease has ended. */
    void unresolved(long leaseEndedMs) {
        absentAfterMs = leaseEndedMs;
    }

    WorkerId worker() {
        return worker;
    }
}
