package org.acaciafold.wire;

import reactor.core.publisher.Mono;

/** Handles live requests that peers relay to this entry host. */
@FunctionalInterface
public interface RelayHandler {
    /**
     * Handles one request.
     *
     * @param request the request
     * @return the response; an error signal is reported to the peer as an unknown outcome
     */
    Mono<RelayResponse> handle(RelayRequest request);
}
