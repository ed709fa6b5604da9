package org.acaciafold.daemon;

import org.acaciafold.daemon.request.LiveRequests;
import org.acaciafold.wire.RelayHandler;

/**
 * The services through which an entry host serves live requests.
 *
 * @param live answers the live requests of callers
 * @param relays answers the live requests that peers relay
 */
public record RequestServices(LiveRequests live, RelayHandler relays) {
    /** Builds the live request services of a host. */
    @FunctionalInterface
    public interface Factory {
        /**
         * Builds the live request services.
         *
         * @param context the parts of the host that the services use
         * @return the live request services
         */
        RequestServices create(RequestContext context);
    }
}
