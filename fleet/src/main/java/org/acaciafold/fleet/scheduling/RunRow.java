package org.acaciafold.fleet.scheduling;

import org.acaciafold.core.model.Resources;

/** One run of a task, from the claim until its end is proven. */
final class RunRow {
    final TaskRow task;
    final int number;
    final WorkerRow worker;
    final Resources resources;
    long orderedAtMs;
    RunPhase phase = RunPhase.CLAIMED;
    String checkpoint = "";
    /** The reason why a stop of the run is requested; empty when none is requested. */
    private String stopReason = "";

    /** True once the run has made its worker suspect because the order to start it was not answered in time. */
    boolean suspected;

    boolean stopInFlight;
    long stopRetryAtMs;
    long stopAnsweredAtMs = Long.MAX_VALUE;
    /** The incarnation of the worker that has listed the run; 0 when none has. */
    long listedBy;
    /** A report that was requested after this time and lacks the run proves that the run has ended. */
    long confirmedAtMs = Long.MAX_VALUE;

    RunRow(TaskRow task, int number, WorkerRow worker, Resources resources) {
        this.task = task;
        this.number = number;
        this.worker = worker;
        this.resources = resources;
    }

    /** Returns since when the run is known to this leader, from the order to start it or from an earlier term. */
    long sinceMs() {
        return orderedAtMs > 0 ? orderedAtMs : confirmedAtMs;
    }

    /** Returns whether the run ends with the present incarnation of its worker, which has listed it. */
    boolean listed() {
        return listedBy != 0 && listedBy == worker.incarnation;
    }

    boolean provenAbsentIn(long requestedAtMs) {
        return requestedAtMs > Math.min(confirmedAtMs, stopAnsweredAtMs);
    }

    /**
     * Returns how much longer the run is expected to take. A run that exceeds its estimate is expected to take half as
     * long again as it has taken so far.
     */
    long expectedRemainingMs(long nowMs) {
        if (orderedAtMs == 0 || task.step.spec.longRunning()) {
            return Long.MAX_VALUE / 2;
        }
        long elapsedMs = nowMs - orderedAtMs;
        long estimateMs = task.step.spec.estimateMs();
        return elapsedMs < estimateMs ? estimateMs - elapsedMs : elapsedMs / 2;
    }

    void stop(String reason) {
        stopReason = stopReason.isEmpty() ? reason : stopReason;
    }

    boolean stopRequested() {
        return !stopReason.isEmpty();
    }

    String stopReason() {
        return stopReason;
    }

    void confirm(long nowMs) {
        phase = RunPhase.RUNNING;
        confirmedAtMs = Math.min(confirmedAtMs, nowMs);
    }
}
