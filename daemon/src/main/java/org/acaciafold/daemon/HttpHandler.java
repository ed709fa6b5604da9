package org.acaciafold.daemon;

import org.acaciafold.core.model.AcaciafoldException;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles one kind of HTTP request. */
@FunctionalInterface
interface HttpHandler {
    /**
     * Handles a request.
     *
     * @param request the request
     * @param response the response
     * @return completes when the response is written; an error signal that carries an
     *     {@link AcaciafoldException} is answered as a typed failure
     * @throws AcaciafoldException when the request is rejected
     */
    Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) throws AcaciafoldException;
}
