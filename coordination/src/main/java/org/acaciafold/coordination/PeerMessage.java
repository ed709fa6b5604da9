package org.acaciafold.coordination;

import java.util.List;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.SliceId;

/** A message between the state machines of two entry hosts. */
public sealed interface PeerMessage {
    /**
     * Tells that the sender is alive and what it owns.
     *
     * @param incarnation a number that differs for each start of the sender
     * @param settingsVersion the version of the settings in force at the sender
     * @param slices the slices it owns
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
     * @param call the number of the call at the receiver
     * @param body the answer
     */
    record Told(long call, ClientReply body) implements PeerMessage {}

    /**
     * Tells the owner of a slice that the table has a new or changed job for it.
     *
     * @param slice the slice
     * @param job the job
     */
    record JobHomed(SliceId slice, JobId job) implements PeerMessage {}

    /**
     * Tells the sender of {@link JobHomed} that the owner has read the job.
     *
     * @param slice the slice
     * @param job the job
     */
    record JobKnown(SliceId slice, JobId job) implements PeerMessage {}

    /**
     * Tells the owner of a slice that the sender has read its members, and would ask all of them in a takeover.
     *
     * @param slice the slice
     * @param generation the generation of the members
     */
    record MembersKnown(SliceId slice, long generation) implements PeerMessage {}

    /**
     * Tells that the table has a newer settings tree.
     *
     * @param version its version
     */
    record SettingsChanged(long version) implements PeerMessage {}

    /**
     * Tells that the sender has released a slice.
     *
     * @param slice the slice
     * @param fence the token it had
     */
    record Handover(SliceId slice, Fence fence) implements PeerMessage {}
}
