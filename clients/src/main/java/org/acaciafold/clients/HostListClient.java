package org.acaciafold.clients;

import org.acaciafold.core.port.HostList;
import reactor.core.publisher.Mono;

/** Reads the host list of the platform. */
@FunctionalInterface
public interface HostListClient {
    /**
     * Reads the host list, which may lag behind the actual state.
     *
     * @return the host list; an error signal carries an {@link org.acaciafold.core.model.AcaciafoldException}
     */
    Mono<HostList> read();
}
