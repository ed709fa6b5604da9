package org.acaciafold.daemon;

import org.acaciafold.daemon.request.LiveRequests;
import org.acaciafold.wire.RelayHandler;

/**
 * The parts of the request plane that an entry host listens with.
 *
 * @param live answers the live requests of callers
 * @param relays answers the live requests that peers relay
 */
public record RequestPlane(LiveRequests live, RelayHandler relays) {
    /** Builds the request plane of a host. */
    @FunctionalInterface
    public interface Factory {
        /**
         * Builds the request plane.
         *
         * @param context what it is built on
         * @return the request plane
         */
        RequestPlane create(RequestContext context);
    }
}
