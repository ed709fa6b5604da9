package org.acaciafold.core.request;

import org.acaciafold.core.model.WorkspaceId;

/**
 * A live request that asks for a slot.
 *
 * @param call the number under which it is answered
 * @param caller the workspace that calls
 * @param service the service
 * @param deadlineMs when the caller gives up, on this process's clock in milliseconds
 */
public record SlotRequest(long call, WorkspaceId caller, ServiceKey service, long deadlineMs) {}
