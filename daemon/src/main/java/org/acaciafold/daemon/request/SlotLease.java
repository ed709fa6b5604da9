package org.acaciafold.daemon.request;

import java.util.concurrent.atomic.AtomicBoolean;

import org.acaciafold.coordination.ClientCall;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.core.model.Clock;
import org.acaciafold.daemon.CoreCalls;

/** A granted slot, which is released exactly once. */
final class SlotLease {
    private final CoreCalls core;
    private final Clock clock;
    private final ClientReply.SlotGranted slot;
    private final long grantedMs;
    private final AtomicBoolean released = new AtomicBoolean();

    private SlotLease(CoreCalls core, Clock clock, ClientReply.SlotGranted slot) {
        this.core = core;
        this.clock = clock;
        this.slot = slot;
        this.grantedMs = clock.nowMs();
    }

    static SlotLease of(CoreCalls core, Clock clock, ClientReply.SlotGranted slot) {
        return new SlotLease(core, clock, slot);
    }

    /**
     * Releases the slot; further calls have no effect.
     *
     * @param succeeded false when the worker rejected the request, failed or returned a server error
     * @param ended whether the request has certainly ended or never ran
     */
    void release(boolean succeeded, boolean ended) {
        if (released.compareAndSet(false, true)) {
            long tookMs = clock.nowMs() - grantedMs;
            core.call(new ClientCall.ReleaseSlot(slot.slot(), succeeded, ended, tookMs))
                    .subscribe();
        }
    }

    ClientReply.SlotGranted slot() {
        return slot;
    }
}
