package org.acaciafold.daemon;

import org.acaciafold.coordination.ClientCall;
import org.acaciafold.coordination.ClientReply;
import reactor.core.publisher.Mono;

/** Calls to the entry host's state machine. */
@FunctionalInterface
public interface CoreCalls {
    /**
     * Calls the state machine.
     *
     * @param call the call
     * @return the reply, never an error signal; a call that fails returns {@link ClientReply.Failed}
     */
    Mono<ClientReply> call(ClientCall call);
}
