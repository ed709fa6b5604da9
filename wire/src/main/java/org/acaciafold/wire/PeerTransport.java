package org.acaciafold.wire;

import reactor.core.publisher.Mono;

/** Sends messages and relays requests to peer entry hosts. */
public interface PeerTransport {
    /**
     * Closes all connections after their pending frames were written.
     *
     * @return completes when all connections are closed
     */
    Mono<Void> close();

    /**
     * Relays a live request.
     *
     * @param address the address on which the peer accepts connections: an IP address and a port
     * @param request the request
     * @return the response; an error signal carries an {@link org.acaciafold.core.model.AcaciafoldException} whose
     *     outcome states whether the request may have reached a worker
     */
    Mono<RelayResponse> relay(String address, RelayRequest request);

    /**
     * Sends a message, which is dropped if the peer is unreachable or its send buffer is full.
     *
     * @param address the address on which the peer accepts connections: an IP address and a port
     * @param message the encoded message
     */
    void send(String address, byte[] message);
}
