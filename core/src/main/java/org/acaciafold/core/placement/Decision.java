package org.acaciafold.core.placement;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.StopMode;

/** A decision of a tick, which the caller must execute. */
public sealed interface Decision {
    /**
     * Starts a task. Its resources stay reserved until the task is reported as refused, ended or lost.
     *
     * @param task the task
     * @param worker the worker on which it starts
     * @param attempt the number of the attempt, higher than any earlier one
     * @param spec the job
     */
    record Start(TaskId task, WorkerId worker, long attempt, JobSpec spec) implements Decision {}

    /**
     * Stops a task. Its resources stay reserved until its end is reported.
     *
     * @param task the task
     * @param worker the worker on which it runs
     * @param attempt the attempt
     * @param mode how the task is stopped
     * @param reason the reason for the stop
     */
    record StopTask(TaskId task, WorkerId worker, long attempt, StopMode mode, String reason) implements Decision {}

    /**
     * Reports that a job can never run, or is stopped because it fails on different workers.
     *
     * @param job the job
     * @param reason why the job is unschedulable
     * @param largest the largest demand per task that would fit
     */
    record JobUnschedulable(JobId job, String reason, Resources largest) implements Decision {}

    /**
     * Requests a larger allotment for a workspace, up to its limit.
     *
     * @param workspace the workspace
     * @param missing the demand of its waiting tasks beyond its allotment
     */
    record RequestAllotment(WorkspaceId workspace, Resources missing) implements Decision {}
}
