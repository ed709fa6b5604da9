package org.acaciafold.wire;

import java.util.List;

import org.acaciafold.core.model.WorkspaceId;

/**
 * What an entry host tells the owner of a slice of a live request.
 *
 * @param requestId the correlation id, which the response repeats
 * @param workspace the calling workspace, already authorized
 * @param service the service
 * @param method the HTTP method
 * @param path the path after the service, with its query
 * @param headers the headers to pass on
 * @param deadlineLeftMs milliseconds until the caller gives up
 * @param traceparent the W3C trace context of the sending hop, empty for none
 * @param repeatable whether the request may be sent again after an unknown outcome
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
