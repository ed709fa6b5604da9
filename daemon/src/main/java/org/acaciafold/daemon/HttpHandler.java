package org.acaciafold.daemon;

import org.acaciafold.core.model.AcaciafoldException;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Answers one kind of HTTP request. */
@FunctionalInterface
interface HttpHandler {
    /**
     * Answers a request.
     *
     * @param request the request
     * @param response the response
     * @return completes when the response is written; an error signal of {@link AcaciafoldException} is answered
     * @throws AcaciafoldException when the request is refused
     */
    Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) throws AcaciafoldException;
}
