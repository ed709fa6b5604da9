package org.acaciafold.wire;

import reactor.core.publisher.Flux;

/**
 * A live request that one entry host relays to another.
 *
 * @param head the head
 * @param body the body; it ends with an error if the caller aborts it
 */
public record RelayRequest(RelayHead head, Flux<byte[]> body) {}
