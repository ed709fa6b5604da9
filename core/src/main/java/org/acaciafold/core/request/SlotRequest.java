package org.acaciafold.core.request;

import org.acaciafold.core.model.WorkspaceId;

/**
 * A request for a slot on behalf of a live request.
 *
 * @param call the number that identifies the request in the decision
 * @param caller the workspace that calls
 * @param service the service
 * @param deadlineMs the caller's deadline, on the monotonic clock of this process in milliseconds
 */
public record SlotRequest(long call, WorkspaceId caller, ServiceKey service, long deadlineMs) {}
