package org.acaciafold.coordination;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;

/** The reply to a {@link ClientCall}. */
public sealed interface ClientReply {
    /**
     * The job is accepted and durable.
     *
     * @param job the job
     * @param home the slice whose owner starts its tasks
     */
    record Submitted(JobId job, SliceId home) implements ClientReply {}

    /**
     * The state of a job.
     *
     * @param status the state
     */
    record JobFound(JobStatus status) implements ClientReply {}

    /**
     * The cancellation is durable.
     *
     * @param job the job
     */
    record Cancelling(JobId job) implements ClientReply {}

    /**
     * The key is claimed for this request, which may now be sent.
     */
    record Claimed() implements ClientReply {}

    /**
     * The key was claimed before.
     *
     * @param outcome the first outcome, empty while it is unknown
     */
    record Repeated(Optional<StoredOutcome> outcome) implements ClientReply {}

    /**
     * The outcome is recorded.
     */
    record Settled() implements ClientReply {}

    /**
     * A slot is reserved until it is released.
     *
     * @param slot the number of the slot
     * @param worker the worker
     * @param address the address at which the worker accepts live requests
     * @param fence the fencing token to send along
     * @param leaseSequence the sequence of the control lease to send along
     * @param serviceWorkspace the workspace of the service
     */
    record SlotGranted(
            long slot, WorkerId worker, String address, Fence fence, long leaseSequence, WorkspaceId serviceWorkspace)
            implements ClientReply {}

    /**
     * The service has replicas in slices of other owners.
     *
     * @param owner the entry host to which the request is forwarded
     */
    record SlotElsewhere(HostId owner) implements ClientReply {}

    /**
     * The slot is released.
     */
    record Released() implements ClientReply {}

    /**
     * A subtree of the settings.
     *
     * @param subtree the path
     * @param version the version of the subtree, 0 when absent
     * @param text the text of the subtree in INI
     */
    record SettingsFound(String subtree, long version, String text) implements ClientReply {}

    /**
     * The state of an edit.
     *
     * @param editId the edit
     * @param version the version of the tree that contains it
     * @param accepted whether the edit is in force everywhere
     * @param waitingFor the entry hosts that have not acknowledged the edit
     */
    record EditState(String editId, long version, boolean accepted, List<String> waitingFor) implements ClientReply {}

    /**
     * The subtree has changed since it was read; nothing was written.
     *
     * @param version the current version of the subtree
     * @param text the current text of the subtree
     */
    record EditConflict(long version, String text) implements ClientReply {}

    /**
     * The state of the entry host.
     *
     * @param status the state
     */
    record StatusFound(HostStatus status) implements ClientReply {}

    /**
     * The call failed.
     *
     * @param failure the typed error
     */
    record Failed(Failure failure) implements ClientReply {}
}
