package org.acaciafold.fleet.scheduling;

import org.acaciafold.core.model.Resources;

/** One run of a task, from the order to start it until its end is proven. */
final class RunRow {
    final TaskRow task;
    final int number;
    final WorkerRow worker;
    final Resources resources;
    long orderedAtMs;
    RunPhase phase = RunPhase.CLAIMED;
    String checkpoint = "";
    /** Why it is to be stopped; empty while it is not. */
    private String stopReason = "";

    /** True once its worker was asked because the order to start it got no answer for a while. */
    boolean suspected;

    boolean stopInFlight;
    long stopRetryAtMs;
    long stopAnsweredAtMs = Long.MAX_VALUE;
    /** A list that was asked for after this time and lacks the run proves that it has ended. */
    long confirmedAtMs = Long.MAX_VALUE;

    RunRow(TaskRow task, int number, WorkerRow worker, Resources resources) {
        this.task = task;
        this.number = number;
        this.worker = worker;
        this.resources = resources;
    }

    boolean provenAbsentIn(long askedAtMs) {
        return askedAtMs > Math.min(confirmedAtMs, stopAnsweredAtMs);
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
