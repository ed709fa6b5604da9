package org.acaciafold.coordination;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.Write;

/** Releases the leases and the row of a slice, so that the next owner need not wait for leases to expire. */
final class SliceRelease {
    private static final int ROW_ATTEMPTS = 2;

    private final HostState state;
    private int callsInFlight;

    private SliceRelease(HostState state) {
        this.state = state;
    }

    static SliceRelease of(HostState state) {
        return new SliceRelease(state);
    }

    /** Returns whether all calls were answered. */
    boolean idle() {
        return callsInFlight == 0;
    }

    /** Releases the workers and the row of a slice, and notifies the peers. */
    void handOver(OwnedSlice slice, long nowMs, Outbox outbox) {
        releaseWorkers(slice, nowMs, outbox);
        if (slice.holdsRow()) {
            releaseRow(slice, ROW_ATTEMPTS, outbox);
        } else {
            notifyPeers(slice, outbox);
        }
    }

    /** Releases the control leases that the workers of a slice have granted. */
    void releaseWorkers(OwnedSlice slice, long nowMs, Outbox outbox) {
        WorkerCommand command = new WorkerCommand.Release(slice.fence());
        for (WorkerLink link : slice.links().values()) {
            if (link.leaseSequence() > 0) {
                callsInFlight++;
                outbox.call(nowMs, link.worker(), link.address(), command, reply -> callsInFlight--);
            }
        }
    }

    private void releaseRow(OwnedSlice slice, int attempts, Outbox outbox) {
        String key = SliceRow.key(slice.id());
        byte[] value = RowCodec.encode(slice.row().released(), SliceRow.class);
        TableRequest commit = new TableRequest.Commit(
                List.of(new Check(key, slice.rowVersion())), List.of(new Write(key, Optional.of(value))));
        callsInFlight++;
        outbox.call(state.clock().nowMs(), commit, reply -> {
            callsInFlight--;
            if (reply instanceof TableReply.Unavailable && attempts > 1) {
                releaseRow(slice, attempts - 1, outbox);
            } else {
                notifyPeers(slice, outbox);
            }
        });
    }

    private void notifyPeers(OwnedSlice slice, Outbox outbox) {
        PeerMessage handover = new PeerMessage.Handover(slice.id(), slice.fence());
        for (HostEntry entry : state.entryHosts().values()) {
            boolean local = entry.domain().equals(state.config().domain());
            HostId host = HostId.of(entry.id());
            if (local && !host.equals(state.config().host())) {
                outbox.send(host, entry.address(), handover);
            }
        }
    }
}
