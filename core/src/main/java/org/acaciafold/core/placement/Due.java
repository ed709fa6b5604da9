package org.acaciafold.core.placement;

/** Something to do at a later time. */
sealed interface Due {
    /** A task may be tried again after a failure. */
    record RetryTask(TaskRow task) implements Due {}

    /** A worker that was set aside may run one task. */
    record ProbeWorker(WorkerRow worker) implements Due {}

    /** An attempt that was asked to stop is asked again, or more strongly. */
    record RepeatStop(AttemptRow attempt) implements Due {}

    /** A job that needs more than its workspace's allotment is reported unless that has changed. */
    record CheckAllotment(JobRow job) implements Due {}

    /** A queue whose first job did not fit is tried again. */
    record TryAgain(ShapeQueue queue) implements Due {}

    /** The room held for a job is given back unless the job has started. */
    record EndHold(JobRow job, long untilMs) implements Due {}
}
