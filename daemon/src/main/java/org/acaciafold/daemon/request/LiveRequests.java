package org.acaciafold.daemon.request;

import java.util.Optional;

import org.acaciafold.core.model.WorkspaceId;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Answers the live requests of callers. */
@FunctionalInterface
public interface LiveRequests {
    /**
     * Answers one request.
     *
     * @param request the request, whose path starts with {@code /v1/services/}
     * @param response the response
     * @param workspace the workspace whose key the request carries, empty when it carries none
     * @return completes when the response is written
     */
    Mono<Void> handle(HttpServerRequest request, HttpServerResponse response, Optional<WorkspaceId> workspace);
}
