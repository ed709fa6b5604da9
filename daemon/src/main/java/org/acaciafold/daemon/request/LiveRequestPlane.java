package org.acaciafold.daemon.request;

import org.acaciafold.daemon.RequestContext;
import org.acaciafold.daemon.RequestPlane;

/** The request plane of an entry host: callers' requests, and those that peers relay to this owner. */
public final class LiveRequestPlane {
    private LiveRequestPlane() {}

    /**
     * Builds the request plane of a host.
     *
     * @param context what it is built on
     * @return the request plane
     */
    public static RequestPlane create(RequestContext context) {
        WorkerRequests workers = WorkerRequests.of(context);
        Attempts attempts = Attempts.of(context, workers);
        IdempotentRequests idempotent =
                IdempotentRequests.of(context.core(), context.settings().host().value());
        return new RequestPlane(CallerRequests.of(context, attempts, idempotent), OwnerRelays.of(context, workers));
    }
}
