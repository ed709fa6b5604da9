package org.acaciafold.wire;

import reactor.core.publisher.Flux;

/**
 * A live request between two entry hosts.
 *
 * @param head the head
 * @param body the body; it ends with an error when the caller cut it
 */
public record RelayRequest(RelayHead head, Flux<byte[]> body) {}
