package org.acaciafold.standin;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.WorkspaceId;

/**
 * The head of a live request as a worker gets it.
 *
 * @param requestId the correlation id
 * @param workspace the workspace whose service it is
 * @param service the service
 * @param fence the fencing token
 * @param leaseSequence the sequence of the control lease
 * @param idempotencyKey the key, empty for none
 */
public record LiveCall(
        String requestId,
        WorkspaceId workspace,
        String service,
        Fence fence,
        long leaseSequence,
        String idempotencyKey) {}
