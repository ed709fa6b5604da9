package org.acaciafold.core.request;

import org.acaciafold.core.model.WorkerId;

/** The answer to a {@link SlotRequest}. */
public sealed interface SlotDecision {
    /**
     * Returns the number of the request.
     *
     * @return the number of the call
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
     * No slot is given.
     *
     * @param call the number of the request
     * @param reason why
     * @param retryAfterMs milliseconds after which a repeat may succeed
     */
    record Refused(long call, Reason reason, long retryAfterMs) implements SlotDecision {}

    /** Why no slot is given. */
    enum Reason {
        /** The queue of the workspace is full. */
        QUEUE_FULL,
        /** The expected wait is longer than the caller's. */
        TOO_BUSY,
        /** The caller's deadline passed while it waited. */
        DEADLINE
    }
}
