package org.acaciafold.core.port;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;

/** An answer of a worker. */
public sealed interface WorkerReply {
    /**
     * The control lease is held.
     *
     * @param leaseSequence the number of this lease; commands sent under it are refused once its validity has passed
     * @param version the version of the view
     * @param view the view, empty when the holder has this version
     * @param ends the unacknowledged ends
     */
    record Claimed(long leaseSequence, long version, Optional<WorkerView> view, List<TaskEnd> ends)
            implements WorkerReply {}

    /**
     * The command was carried out.
     */
    record Done() implements WorkerReply {}

    /**
     * A higher fence was seen, or another holder still has the control lease; the command was not carried out.
     *
     * @param highest the highest fence seen
     * @param holder its holder
     * @param remainingMs milliseconds until its control lease ends
     */
    record Fenced(Fence highest, HostId holder, long remainingMs) implements WorkerReply {}

    /**
     * The command was provably not carried out.
     *
     * @param code why, for programs
     * @param message why, for people
     */
    record Refused(String code, String message) implements WorkerReply {}

    /**
     * No answer came; the command may have been carried out.
     *
     * @param reason what was seen
     */
    record Lost(String reason) implements WorkerReply {}
}
