package org.acaciafold.clients;

import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import reactor.core.publisher.Mono;

/** Calls the table service of the platform. */
@FunctionalInterface
public interface TableClient {
    /**
     * Sends a request to the table service.
     *
     * @param request the request
     * @return the reply, never an error signal; {@link TableReply.Unavailable} if no reply was received
     */
    Mono<TableReply> call(TableRequest request);
}
