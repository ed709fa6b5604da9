package org.acaciafold.coordination;

import java.util.Optional;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.WorkspaceId;

/** A call of a caller or operator, already authorized. */
public sealed interface ClientCall {
    /** The workspace of callers without a key; no workspace in the settings can have this name. */
    WorkspaceId ANYONE = WorkspaceId.of("*");

    /**
     * Submits a job; answered when it is durable.
     *
     * @param workspace the workspace
     * @param submissionKey a key under which a repeated submission finds the first job, empty for none
     * @param request the job
     */
    record Submit(WorkspaceId workspace, String submissionKey, JobRequest request) implements ClientCall {}

    /**
     * Requests the state of a job.
     *
     * @param workspace the workspace
     * @param job the job
     */
    record QueryJob(WorkspaceId workspace, JobId job) implements ClientCall {}

    /**
     * Cancels a job; answered when the cancellation is durable.
     *
     * @param workspace the workspace
     * @param job the job
     */
    record Cancel(WorkspaceId workspace, JobId job) implements ClientCall {}

    /**
     * Claims an idempotency key before its request is sent to a worker.
     *
     * @param workspace the workspace
     * @param key the idempotency key
     * @param digest a digest of the request, to reject another request under the same key
     */
    record Claim(WorkspaceId workspace, String key, String digest) implements ClientCall {}

    /**
     * Records the outcome of a claimed request.
     *
     * @param workspace the workspace
     * @param key the idempotency key
     * @param outcome the outcome
     */
    record Settle(WorkspaceId workspace, String key, StoredOutcome outcome) implements ClientCall {}

    /**
     * Acquires a slot on a replica of a service.
     *
     * @param workspace the calling workspace, {@link #ANYONE} for a caller without a key
     * @param service the service
     * @param waitMs milliseconds until the caller stops waiting; the slot counts as in use until then
     * @param relayed whether a peer relayed the request; a relayed request is not relayed again
     */
    record AcquireSlot(WorkspaceId workspace, String service, long waitMs, boolean relayed) implements ClientCall {}

    /**
     * Releases a slot.
     *
     * @param slot the number of the slot
     * @param succeeded whether the worker answered well
     * @param ended whether the request certainly no longer runs, or never ran
     * @param tookMs how long the request took in milliseconds
     */
    record ReleaseSlot(long slot, boolean succeeded, boolean ended, long tookMs) implements ClientCall {
        /**
         * Releases a slot whose request has ended or was never sent.
         *
         * @param slot the number of the slot
         * @param succeeded whether the worker answered well
         * @param tookMs how long the request took in milliseconds
         */
        public ReleaseSlot(long slot, boolean succeeded, long tookMs) {
            this(slot, succeeded, true, tookMs);
        }
    }

    /**
     * Requests a subtree of the settings.
     *
     * @param subtree the path, such as {@code workspace/north}, empty for the list of subtrees
     */
    record QuerySettings(String subtree) implements ClientCall {}

    /**
     * Replaces a subtree; answered at once as pending or rejected.
     *
     * @param editId the unique identifier of the edit
     * @param subtree the path
     * @param expected the version of the subtree that was read, 0 for a new one
     * @param text the new text in INI, empty to remove the subtree
     */
    record EditSettings(String editId, String subtree, long expected, Optional<String> text) implements ClientCall {}

    /**
     * Queries whether an edit is in force everywhere.
     *
     * @param editId the identifier of the edit
     */
    record QueryEdit(String editId) implements ClientCall {}

    /**
     * Requests the state of this entry host.
     */
    record QueryStatus() implements ClientCall {}
}
