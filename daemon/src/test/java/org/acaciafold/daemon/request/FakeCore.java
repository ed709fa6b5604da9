package org.acaciafold.daemon.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

import org.acaciafold.coordination.ClientCall;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.coordination.StoredOutcome;
import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.daemon.CoreCalls;
import reactor.core.publisher.Mono;

/** A state machine that grants every slot, unless other replies are queued, and records its calls. */
final class FakeCore implements CoreCalls {
    private final List<ClientCall> calls = new CopyOnWriteArrayList<>();
    private final Deque<Mono<ClientReply>> slots = new ArrayDeque<>();
    private final AtomicLong lastSlot = new AtomicLong();
    private volatile Mono<ClientReply> claim = Mono.just(new ClientReply.Claimed());
    private volatile Optional<HostId> owner = Optional.empty();
    private volatile String worker = "";

    @Override
    public Mono<ClientReply> call(ClientCall call) {
        calls.add(call);
        return switch (call) {
            case ClientCall.AcquireSlot acquire -> acquire(acquire.relayed());
            case ClientCall.Claim ignored -> claim;
            case ClientCall.Settle ignored -> Mono.just(new ClientReply.Settled());
            case ClientCall.ReleaseSlot ignored -> Mono.just(new ClientReply.Released());
            default -> Mono.error(new IllegalStateException("unexpected " + call));
        };
    }

    void answerClaims(Mono<ClientReply> reply) {
        claim = reply;
    }

    synchronized void answerSlot(Mono<ClientReply> reply) {
        slots.add(reply);
    }

    ClientReply grant(String address) {
        return new ClientReply.SlotGranted(
                lastSlot.incrementAndGet(), WorkerId.of("w"), address, Fence.of(3, 1), 7, WorkspaceId.of("north"));
    }

    List<ClientCall.ReleaseSlot> releases() {
        return calls.stream()
                .filter(ClientCall.ReleaseSlot.class::isInstance)
                .map(ClientCall.ReleaseSlot.class::cast)
                .toList();
    }

    List<StoredOutcome> settled() {
        return calls.stream()
                .filter(ClientCall.Settle.class::isInstance)
                .map(call -> ((ClientCall.Settle) call).outcome())
                .toList();
    }

    /** Sets a peer as the owner of the worker for requests that were not relayed by a peer. */
    void owner(HostId peer) {
        owner = Optional.of(peer);
    }

    void worker(String address) {
        worker = address;
    }

    private Mono<ClientReply> acquire(boolean relayed) {
        return relayed ? nextSlot() : owner.map(this::elsewhere).orElseGet(this::nextSlot);
    }

    private Mono<ClientReply> elsewhere(HostId peer) {
        return Mono.just(new ClientReply.SlotElsewhere(peer));
    }

    private synchronized Mono<ClientReply> nextSlot() {
        return slots.isEmpty() ? Mono.fromSupplier(() -> grant(worker)) : slots.poll();
    }
}
