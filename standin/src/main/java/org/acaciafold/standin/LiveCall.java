package org.acaciafold.standin;

import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.WorkspaceId;

/**
 * The headers of a live request that a worker receives.
 *
 * @param requestId the correlation id
 * @param workspace the workspace that owns the service
 * @param service the name of the service
 * @param fence the fencing token
 * @param leaseSequence the sequence of the control lease
 * @param idempotencyKey the idempotency key; empty when the request has none
 */
public record LiveCall(
        String requestId,
        WorkspaceId workspace,
        String service,
        Fence fence,
        long leaseSequence,
        String idempotencyKey) {}
