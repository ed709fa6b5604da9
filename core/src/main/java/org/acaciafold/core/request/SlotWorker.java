package org.acaciafold.core.request;

import java.util.Set;

import org.acaciafold.core.model.WorkerId;

/**
 * The latest report of a worker.
 *
 * @param id the worker
 * @param slots the maximum number of concurrent live requests
 * @param slotsInUse the number of live requests in progress at the time of the report
 * @param sampledAfterMs a time not later than the report, on the monotonic clock of this process in milliseconds
 * @param usable whether new requests may be sent to it
 * @param services the services with a running replica on it
 */
public record SlotWorker(
        WorkerId id, int slots, int slotsInUse, long sampledAfterMs, boolean usable, Set<ServiceKey> services) {}
