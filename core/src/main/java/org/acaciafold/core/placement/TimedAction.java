package org.acaciafold.core.placement;

/** Something to do at a later time. */
sealed interface TimedAction {
    /** A task may be tried again after a failure. */
    record RetryTask(TaskRow task) implements TimedAction {}

    /** A quarantined worker may run one task. */
    record ProbeWorker(WorkerRow worker) implements TimedAction {}

    /** An attempt that was asked to stop is asked again, or more strongly. */
    record RepeatStop(AttemptRow attempt) implements TimedAction {}

    /** A job that needs more than its workspace's allotment is reported unless that has changed. */
    record CheckAllotment(JobRow job) implements TimedAction {}

    /** A queue whose first job did not fit is tried again. */
    record RetryQueue(ShapeQueue queue) implements TimedAction {}

    /** The capacity reserved for a job is released unless the job has started. */
    record ReleaseReservation(JobRow job, long reservedUntilMs) implements TimedAction {}
}
