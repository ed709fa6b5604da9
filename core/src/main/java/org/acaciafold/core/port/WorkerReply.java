package org.acaciafold.core.port;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;

/** A reply of a worker. */
public sealed interface WorkerReply {
    /**
     * The control lease was acquired or renewed.
     *
     * @param leaseSequence the number of this lease; commands sent under it are rejected once it has expired
     * @param version the version of the view
     * @param view the view, empty if the holder has this version
     * @param ends the ends of tasks that are not acknowledged
     */
    record Claimed(long leaseSequence, long version, Optional<WorkerView> view, List<TaskEnd> ends)
            implements WorkerReply {}

    /**
     * The command was executed.
     */
    record Done() implements WorkerReply {}

    /**
     * The worker has received a higher fencing token, or another holder has a valid control lease; the command was not
     * executed.
     *
     * @param highest the highest fencing token that the worker has received
     * @param holder its holder
     * @param remainingMs milliseconds until its control lease expires
     */
    record Fenced(Fence highest, HostId holder, long remainingMs) implements WorkerReply {}

    /**
     * The command was provably not executed.
     *
     * @param code the machine-readable reason
     * @param message the human-readable reason
     */
    record Refused(String code, String message) implements WorkerReply {}

    /**
     * No reply was received; the command may have been executed.
     *
     * @param reason the error that occurred
     */
    record Lost(String reason) implements WorkerReply {}
}
