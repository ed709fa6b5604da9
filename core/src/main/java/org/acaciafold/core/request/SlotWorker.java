package org.acaciafold.core.request;

import java.util.Set;

import org.acaciafold.core.model.WorkerId;

/**
 * What a worker last reported.
 *
 * @param id the worker
 * @param slots live requests it serves at once
 * @param slotsInUse live requests it served when it reported
 * @param sampledAfterMs a time not later than the report, on this process's clock in milliseconds
 * @param usable whether new requests may be sent to it
 * @param services the services with a running replica on it
 */
public record SlotWorker(
        WorkerId id, int slots, int slotsInUse, long sampledAfterMs, boolean usable, Set<ServiceKey> services) {}
