package org.acaciafold.core.request;

import org.acaciafold.core.model.WorkerId;

/** The decision on a {@link SlotRequest}. */
public sealed interface SlotDecision {
    /**
     * Returns the number of the request.
     *
     * @return the number of the request
     */
    long call();

    /**
     * The slot is reserved until {@link SlotAllocator#release}.
     *
     * @param call the number of the request
     * @param slot the number of the slot
     * @param worker the worker
     * @param service the service
     */
    record Granted(long call, long slot, WorkerId worker, ServiceKey service) implements SlotDecision {}

    /**
     * The request is refused a slot.
     *
     * @param call the number of the request
     * @param reason the reason
     * @param retryAfterMs milliseconds after which a retry may succeed
     */
    record Refused(long call, Reason reason, long retryAfterMs) implements SlotDecision {}

    /** The reason for refusing a slot. */
    enum Reason {
        /** The queue of the workspace is full. */
        QUEUE_FULL,
        /** The expected wait exceeds the time until the caller's deadline. */
        TOO_BUSY,
        /** The caller's deadline passed while the request waited. */
        DEADLINE
    }
}
