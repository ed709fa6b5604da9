package org.acaciafold.core.placement;

import java.util.BitSet;
import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.TaskEnd;
import org.acaciafold.core.port.TaskView;

/**
 * Makes the placement decisions of one slice: it takes events between ticks and returns decisions from each tick.
 *
 * <p>The engine does no I/O and reads no clock; the same events and ticks yield the same decisions. Resources are
 * reserved when a start is decided and released only by {@link #refused}, {@link #ended} or {@link #lost}.
 */
public interface PlacementEngine {
    /**
     * Records a task that a worker reports and that this engine did not start.
     *
     * @param worker the worker
     * @param view the task as reported
     */
    void adopt(WorkerId worker, TaskView view);

    /**
     * Cancels a job: none of its tasks starts again, and running tasks are stopped in the next tick.
     *
     * @param job the job
     */
    void cancel(JobId job);

    /**
     * Records the end of a task, which releases its resources.
     *
     * @param end the report
     * @param nowMs the time of the report in milliseconds
     */
    void ended(TaskEnd end, long nowMs);

    /**
     * Records that the lease of a task has provably expired, which releases its resources and returns it to the queue.
     *
     * @param task the task
     * @param attempt the attempt
     */
    void lost(TaskId task, long attempt);

    /**
     * Sets whether tasks may start; while they may not, running tasks are moved away.
     *
     * @param open false while the failure domain is out of service
     */
    void setOpen(boolean open);

    /**
     * Returns the progress of a job.
     *
     * @param job the job
     * @return its progress, empty if the job is unknown here
     */
    Optional<JobProgress> progress(JobId job);

    /**
     * Adds or updates a worker.
     *
     * @param worker the worker
     * @param state whether it may be used
     */
    void putWorker(WorkerSpec worker, WorkerState state);

    /**
     * Records that a start was provably not executed, which releases its resources.
     *
     * @param task the task
     * @param attempt the attempt
     * @param nowMs the time in milliseconds
     */
    void refused(TaskId task, long attempt, long nowMs);

    /**
     * Removes a job that has ended or has moved to another slice.
     *
     * @param job the job, none of whose tasks runs
     */
    void removeJob(JobId job);

    /**
     * Removes a worker on which nothing runs.
     *
     * @param worker the worker
     */
    void removeWorker(WorkerId worker);

    /**
     * Records that a worker executed a start.
     *
     * @param task the task
     * @param attempt the attempt
     * @param nowMs the time in milliseconds
     */
    void started(TaskId task, long attempt, long nowMs);

    /**
     * Adds a job whose home is this slice.
     *
     * @param spec the job
     * @param ended the tasks that ended earlier, by index
     * @param nowMs the time of submission in milliseconds on this process's clock
     */
    void submit(JobSpec spec, BitSet ended, long nowMs);

    /**
     * Returns the state of the slice.
     *
     * @return the capacity, the reserved resources and the counts of tasks
     */
    PlacementSummary summary();

    /**
     * Sets the quota of a workspace in this slice.
     *
     * @param workspace the workspace
     * @param quota its weight, allotment and policies
     */
    void setQuota(WorkspaceId workspace, WorkspaceQuota quota);

    /**
     * Runs all systems once.
     *
     * @param nowMs the time in milliseconds
     * @return the decisions in the order in which they must be executed
     */
    List<Decision> tick(long nowMs);

    /**
     * Returns the resources that a workspace has reserved in this slice.
     *
     * @param workspace the workspace
     * @return the resources of its tasks that run or are being started or stopped
     */
    Resources usage(WorkspaceId workspace);
}
