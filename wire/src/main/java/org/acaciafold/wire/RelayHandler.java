package org.acaciafold.wire;

import reactor.core.publisher.Mono;

/** Answers the live requests that peers relay to this entry host. */
@FunctionalInterface
public interface RelayHandler {
    /**
     * Answers one request.
     *
     * @param request the request
     * @return the response; an error signal is reported to the peer as an unknown outcome
     */
    Mono<RelayResponse> handle(RelayRequest request);
}
