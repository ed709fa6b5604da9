package org.acaciafold.wire;

import reactor.core.publisher.Mono;

/** Connections to the peer entry hosts. */
public interface PeerTransport {
    /**
     * Closes all connections once what was already sent is written.
     *
     * @return completes when closed
     */
    Mono<Void> close();

    /**
     * Relays a live request.
     *
     * @param address where the peer takes messages, an IP number and a port
     * @param request the request
     * @return the response; an error signal carries an {@link org.acaciafold.core.model.AcaciafoldException} whose
     *     outcome tells whether the request may have reached a worker
     */
    Mono<RelayResponse> relay(String address, RelayRequest request);

    /**
     * Sends a message, which is dropped when the peer can't be reached.
     *
     * @param address where the peer takes messages, an IP number and a port
     * @param message the encoded message
     */
    void send(String address, byte[] message);
}
