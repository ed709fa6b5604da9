package org.acaciafold.daemon;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.opentelemetry.api.trace.Span;
import org.acaciafold.coordination.Effect;
import org.acaciafold.coordination.Event;
import org.acaciafold.coordination.PeerMessage;
import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.WorkerReply;
import org.acaciafold.wire.PeerTransport;
import reactor.core.publisher.Mono;

/** Executes the effects of the state machine that send something; called only on its thread and never blocks it. */
final class EffectRunner {
    private final PlatformClients clients;
    private final PeerTransport peers;
    private final HostMetrics metrics;
    private final Tracing tracing;
    private PeerMessage lastMessage;
    private byte[] lastEncoded;

    private EffectRunner(PlatformClients clients, PeerTransport peers, HostMetrics metrics, Tracing tracing) {
        this.clients = clients;
        this.peers = peers;
        this.metrics = metrics;
        this.tracing = tracing;
    }

    static EffectRunner of(PlatformClients clients, PeerTransport peers, HostMetrics metrics, Tracing tracing) {
        return new EffectRunner(clients, peers, metrics, tracing);
    }

    /**
     * Sends a request to the table service.
     *
     * @param effect the request
     * @param requests the trace contexts of the calls that the tick processed
     * @param onAnswer receives the answer as an event
     */
    void callTable(Effect.CallTable effect, List<String> requests, Consumer<Event> onAnswer) {
        String kind = effect.request().getClass().getSimpleName();
        Span span = tracing.start("table " + kind, requests);
        long startNanos = System.nanoTime();
        Mono.defer(() -> clients.table().call(effect.request()))
                .onErrorResume(error -> Mono.just(new TableReply.Unavailable(String.valueOf(error.getMessage()))))
                .subscribe(reply -> {
                    String result = reply.getClass().getSimpleName();
                    tracing.end(span, result, reply instanceof TableReply.Unavailable);
                    metrics.tableCall(kind, result, System.nanoTime() - startNanos, TimeUnit.NANOSECONDS);
                    onAnswer.accept(new Event.TableAnswered(effect.call(), reply));
                });
    }

    /**
     * Sends a command to a worker.
     *
     * @param effect the command
     * @param onAnswer receives the answer as an event
     */
    void callWorker(Effect.CallWorker effect, Consumer<Event> onAnswer) {
        String kind = effect.command().getClass().getSimpleName();
        Span span = tracing.start("worker " + kind, List.of());
        span.setAttribute("worker", effect.worker().value());
        long startNanos = System.nanoTime();
        Mono.defer(() -> clients.workers().command(effect.address(), effect.command()))
                .onErrorResume(error -> Mono.just(new WorkerReply.Lost(String.valueOf(error.getMessage()))))
                .subscribe(reply -> {
                    String result = reply.getClass().getSimpleName();
                    tracing.end(span, result, reply instanceof WorkerReply.Lost);
                    metrics.workerCall(kind, result, System.nanoTime() - startNanos, TimeUnit.NANOSECONDS);
                    onAnswer.accept(new Event.WorkerAnswered(effect.call(), reply));
                });
    }

    /**
     * Sends a message to a peer.
     *
     * @param effect the message and its destination
     */
    void sendPeer(Effect.SendPeer effect) {
        metrics.peerMessageSent(effect.message().getClass().getSimpleName());
        peers.send(effect.address(), encode(effect.message()));
    }

    /** Encodes a message; one that is sent to several peers in a row, as heartbeats are, is encoded only once. */
    private byte[] encode(PeerMessage message) {
        if (message != lastMessage) {
            lastEncoded = Codec.messagePack().encode(message, PeerMessage.class);
            lastMessage = message;
        }
        return lastEncoded;
    }
}
