package org.acaciafold.core.port;

import java.util.List;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.TaskId;

/** A command to a worker; a worker refuses a fence below the highest it has seen. */
public sealed interface WorkerCommand {
    /**
     * Takes or renews the control lease of the worker and renews the leases of its tasks.
     *
     * @param fence the fencing token
     * @param holder the entry host that commands
     * @param validityMs how long the control lease is valid in milliseconds, from its receipt
     * @param leaseSequence the sequence of the last answer to this holder, 0 at first; task leases are renewed only while that lease is valid
     * @param renewMs the new length of the leases of repeatable tasks in milliseconds, 0 for no renewal
     * @param renewExclusiveMs the same for exclusive tasks
     * @param seenVersion the version of the view that the holder has, 0 for none
     * @param acknowledgedEnds the reports of ended tasks that need no repeat
     */
    record Claim(
            Fence fence,
            HostId holder,
            long validityMs,
            long leaseSequence,
            long renewMs,
            long renewExclusiveMs,
            long seenVersion,
            List<Long> acknowledgedEnds)
            implements WorkerCommand {}

    /**
     * Starts a task; refused once the control lease of the sequence has lapsed.
     *
     * @param fence the fencing token
     * @param leaseSequence the sequence of the control lease under which it is sent
     * @param task the task
     * @param attempt the attempt, higher than any earlier one of the task
     * @param spec the job
     * @param taskLeaseMs milliseconds until the worker stops it unless its lease is renewed
     */
    record Start(Fence fence, long leaseSequence, TaskId task, long attempt, JobSpec spec, long taskLeaseMs)
            implements WorkerCommand {}

    /**
     * Stops a task; its end is reported like any other.
     *
     * @param fence the fencing token
     * @param leaseSequence the sequence of the control lease under which it is sent
     * @param task the task
     * @param attempt the attempt
     * @param mode how to stop it
     */
    record Stop(Fence fence, long leaseSequence, TaskId task, long attempt, StopMode mode) implements WorkerCommand {}

    /**
     * Limits the processors of a task.
     *
     * @param fence the fencing token
     * @param leaseSequence the sequence of the control lease under which it is sent
     * @param task the task
     * @param cpuMillis the limit in thousandths of a core
     */
    record Throttle(Fence fence, long leaseSequence, TaskId task, long cpuMillis) implements WorkerCommand {}

    /**
     * Gives the control lease up, so that another holder need not wait.
     *
     * @param fence the fencing token
     */
    record Release(Fence fence) implements WorkerCommand {}
}
