package org.acaciafold.core.port;

import java.util.List;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.TaskId;

/** A command to a worker. A worker rejects a fencing token below the highest one that it has received. */
public sealed interface WorkerCommand {
    /**
     * Acquires or renews the control lease of the worker and renews the leases of its tasks.
     *
     * @param fence the fencing token
     * @param holder the entry host that sends the command
     * @param validityMs how long the control lease is valid in milliseconds, from its receipt
     * @param leaseSequence the sequence of the last reply to this holder, 0 at first; task leases are renewed only
     *     while that lease is valid
     * @param renewMs the new duration of the leases of repeatable tasks in milliseconds, 0 for no renewal
     * @param renewExclusiveMs the same for exclusive tasks
     * @param seenVersion the version of the view that the holder has, 0 for none
     * @param acknowledgedEnds the numbers of the end reports that the worker need not send again
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
     * Starts a task; rejected once the control lease with the given sequence has expired.
     *
     * @param fence the fencing token
     * @param leaseSequence the sequence of the control lease under which the command is sent
     * @param task the task
     * @param attempt the attempt, higher than any earlier one of the task
     * @param spec the job
     * @param taskLeaseMs milliseconds until the worker stops the task unless its lease is renewed
     */
    record Start(Fence fence, long leaseSequence, TaskId task, long attempt, JobSpec spec, long taskLeaseMs)
            implements WorkerCommand {}

    /**
     * Stops a task, whose end is reported like any other.
     *
     * @param fence the fencing token
     * @param leaseSequence the sequence of the control lease under which the command is sent
     * @param task the task
     * @param attempt the attempt
     * @param mode how to stop the task
     */
    record Stop(Fence fence, long leaseSequence, TaskId task, long attempt, StopMode mode) implements WorkerCommand {}

    /**
     * Limits the CPU use of a task.
     *
     * @param fence the fencing token
     * @param leaseSequence the sequence of the control lease under which the command is sent
     * @param task the task
     * @param cpuMillis the limit in thousandths of a core
     */
    record Throttle(Fence fence, long leaseSequence, TaskId task, long cpuMillis) implements WorkerCommand {}

    /**
     * Releases the control lease, so that another holder need not wait until it expires.
     *
     * @param fence the fencing token
     */
    record Release(Fence fence) implements WorkerCommand {}
}
