package org.acaciafold.coordination;

import java.util.List;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.SliceId;

/** A message between the state machines of two entry hosts. */
public sealed interface PeerMessage {
    /**
     * Announces that the sender is alive and which slices it owns.
     *
     * @param incarnation a number that differs for each incarnation of the sender
     * @param settingsVersion the version of the settings in force at the sender
     * @param slices the slices that the sender owns
     */
    record Heartbeat(long incarnation, long settingsVersion, List<SliceSummary> slices) implements PeerMessage {}

    /**
     * Forwards a call.
     *
     * @param call the number of the call at the sender
     * @param body the call
     */
    record Ask(long call, ClientCall body) implements PeerMessage {}

    /**
     * Answers a forwarded call.
     *
     * @param call the number of the call at the receiver of the answer
     * @param body the answer
     */
    record Told(long call, ClientReply body) implements PeerMessage {}

    /**
     * Notifies the owner of a slice of a new or changed job in the table.
     *
     * @param slice the slice
     * @param job the job
     */
    record JobHomed(SliceId slice, JobId job) implements PeerMessage {}

    /**
     * Acknowledges to the sender of {@link JobHomed} that the owner has read the job.
     *
     * @param slice the slice
     * @param job the job
     */
    record JobKnown(SliceId slice, JobId job) implements PeerMessage {}

    /**
     * Acknowledges to the owner of a slice that the sender has read its members and would contact all of them in a
     * takeover.
     *
     * @param slice the slice
     * @param generation the generation of the members
     */
    record MembersKnown(SliceId slice, long generation) implements PeerMessage {}

    /**
     * Announces a newer settings tree in the table.
     *
     * @param version the version of the tree
     */
    record SettingsChanged(long version) implements PeerMessage {}

    /**
     * Announces that the sender has released a slice.
     *
     * @param slice the slice
     * @param fence the fencing token that the sender had
     */
    record Handover(SliceId slice, Fence fence) implements PeerMessage {}
}
