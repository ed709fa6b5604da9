package org.acaciafold.wire;

import reactor.core.publisher.Flux;

/**
 * The response to a relayed request.
 *
 * @param head the head
 * @param body the body; it ends with an error if it was truncated
 */
public record RelayResponse(RelayStatus head, Flux<byte[]> body) {}
