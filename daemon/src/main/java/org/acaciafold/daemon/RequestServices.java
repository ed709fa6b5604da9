package org.acaciafold.daemon;

import org.acaciafold.daemon.request.LiveRequests;
import org.acaciafold.wire.RelayHandler;

/**
 * The live request services that an entry host listens with.
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
         * @param context what it is built on
         * @return the live request services
         */
        RequestServices create(RequestContext context);
    }
}
