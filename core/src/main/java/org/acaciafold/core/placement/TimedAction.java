package org.acaciafold.core.placement;

/** An action that is due at a later time. */
sealed interface TimedAction {
    /** Retries a task after a failure. */
    record RetryTask(TaskRow task) implements TimedAction {}

    /** Lets a quarantined worker run one task as a probe. */
    record ProbeWorker(WorkerRow worker) implements TimedAction {}

    /** Repeats the request to stop an attempt, and escalates it to a kill after several requests. */
    record RepeatStop(AttemptRow attempt) implements TimedAction {}

    /** Reports a job that needs more than its workspace's allotment, unless that has changed. */
    record CheckAllotment(JobRow job) implements TimedAction {}

    /** Retries a queue whose first job did not fit. */
    record RetryQueue(ShapeQueue queue) implements TimedAction {}

    /** Releases the capacity reserved for a job unless the job has started. */
    record ReleaseReservation(JobRow job, long reservedUntilMs) implements TimedAction {}
}
