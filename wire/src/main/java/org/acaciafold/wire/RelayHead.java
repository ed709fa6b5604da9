package org.acaciafold.wire;

import java.util.List;

import org.acaciafold.core.model.WorkspaceId;

/**
 * The head of a live request that an entry host relays to the owner of a slice.
 *
 * @param requestId the correlation id, which the response carries as well
 * @param workspace the calling workspace, already authorized
 * @param service the service
 * @param method the HTTP method
 * @param path the path after the service name, with its query
 * @param headers the headers to forward
 * @param deadlineLeftMs the remaining time until the deadline of the caller in milliseconds
 * @param traceparent the W3C trace context of the sending hop, or an empty string
 * @param repeatable whether the request may be retried after an unknown outcome
 */
public record RelayHead(
        String requestId,
        WorkspaceId workspace,
        String service,
        String method,
        String path,
        List<Header> headers,
        long deadlineLeftMs,
        String traceparent,
        boolean repeatable) {}
