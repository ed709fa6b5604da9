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
 * The decisions for one slice: facts go in between ticks, decisions come out of each tick.
 *
 * <p>It does no I/O and reads no clock; the same facts and ticks give the same decisions. Resources are reserved when
 * a start is decided and freed only by {@link #refused}, {@link #ended} or {@link #lost}.
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
     * Cancels a job: nothing of it starts again, running tasks are stopped in the next tick.
     *
     * @param job the job
     */
    void cancel(JobId job);

    /**
     * Records the end of a task, which frees its resources.
     *
     * @param end the report
     * @param nowMs the time of the report in milliseconds
     */
    void ended(TaskEnd end, long nowMs);

    /**
     * Records that the lease of a task has provably run out, which frees its resources and makes it wait again.
     *
     * @param task the task
     * @param attempt the attempt
     */
    void lost(TaskId task, long attempt);

    /**
     * Sets whether anything may start; tasks are moved away while nothing may.
     *
     * @param open false while the failure domain is out of service
     */
    void open(boolean open);

    /**
     * Looks up how far a job has come.
     *
     * @param job the job
     * @return its progress, empty when it is not known here
     */
    Optional<JobProgress> progress(JobId job);

    /**
     * Adds a worker or changes what it has.
     *
     * @param worker the worker
     * @param state whether it may be used
     */
    void putWorker(WorkerSpec worker, WorkerState state);

    /**
     * Records that a start was provably not carried out, which frees its resources.
     *
     * @param task the task
     * @param attempt the attempt
     * @param nowMs the time in milliseconds
     */
    void refused(TaskId task, long attempt, long nowMs);

    /**
     * Forgets a job that has ended or has moved to another slice.
     *
     * @param job the job, none of whose tasks runs
     */
    void removeJob(JobId job);

    /**
     * Forgets a worker on which nothing runs.
     *
     * @param worker the worker
     */
    void removeWorker(WorkerId worker);

    /**
     * Records that a worker carried a start out.
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
     * @return capacity, reserved resources and counts
     */
    PlacementSummary summary();

    /**
     * Sets what a workspace may have in this slice.
     *
     * @param workspace the workspace
     * @param quota weight, allotment and policies
     */
    void workspace(WorkspaceId workspace, WorkspaceQuota quota);

    /**
     * Runs the systems once.
     *
     * @param nowMs the time in milliseconds
     * @return the decisions in the order in which they must be carried out
     */
    List<Decision> tick(long nowMs);

    /**
     * Returns what a workspace has reserved in this slice.
     *
     * @param workspace the workspace
     * @return the resources of its tasks that run or are being started or stopped
     */
    Resources usage(WorkspaceId workspace);
}
