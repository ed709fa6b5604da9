package org.acaciafold.daemon.request;

import org.acaciafold.daemon.RequestContext;
import org.acaciafold.daemon.RequestServices;

/** Builds the services that answer the requests of callers and those that peers relay to this host as the owner. */
public final class LiveRequestServices {
    private LiveRequestServices() {}

    /**
     * Builds the live request services of a host.
     *
     * @param context the parts of the host that the services use
     * @return the live request services
     */
    public static RequestServices create(RequestContext context) {
        WorkerRequests workers = WorkerRequests.of(context);
        Attempts attempts = Attempts.of(context, workers);
        IdempotentRequests idempotent =
                IdempotentRequests.of(context.core(), context.settings().host().value());
        return new RequestServices(CallerRequests.of(context, attempts, idempotent), OwnerRelays.of(context, workers));
    }
}
