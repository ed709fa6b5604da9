package org.acaciafold.core.placement;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.StopMode;

/** A decision of a tick, to be carried out by the caller. */
public sealed interface Decision {
    /**
     * Starts a task; its resources are reserved until the task is reported refused, ended or lost.
     *
     * @param task the task
     * @param worker where
     * @param attempt the attempt, higher than any earlier one
     * @param spec the job
     */
    record Start(TaskId task, WorkerId worker, long attempt, JobSpec spec) implements Decision {}

    /**
     * Stops a task; its resources stay reserved until its end is reported.
     *
     * @param task the task
     * @param worker where it runs
     * @param attempt the attempt
     * @param mode how
     * @param reason why
     */
    record StopTask(TaskId task, WorkerId worker, long attempt, StopMode mode, String reason) implements Decision {}

    /**
     * Tells that a job can never run, or is stopped because it fails on unlike workers.
     *
     * @param job the job
     * @param reason why
     * @param largest the largest demand of a task that would fit
     */
    record JobUnschedulable(JobId job, String reason, Resources largest) implements Decision {}

    /**
     * Asks for more of a workspace's upper limit.
     *
     * @param workspace the workspace
     * @param missing what its waiting tasks need beyond its allotment
     */
    record WantsAllotment(WorkspaceId workspace, Resources missing) implements Decision {}
}
