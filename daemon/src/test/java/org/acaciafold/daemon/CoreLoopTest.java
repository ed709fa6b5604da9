package org.acaciafold.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.sdk.trace.data.SpanData;
import org.acaciafold.coordination.ClientCall;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.coordination.Effect;
import org.acaciafold.coordination.Event;
import org.acaciafold.coordination.PeerMessage;
import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Outcome;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.HostList;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;
import org.acaciafold.wire.PeerTransport;
import org.acaciafold.wire.RelayRequest;
import org.acaciafold.wire.RelayResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CoreLoopTest {
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final ClientCall QUERY = new ClientCall.QueryEdit("e1");
    private static final ClientReply.SlotGranted GRANTED = new ClientReply.SlotGranted(
            7, WorkerId.of("w1"), "127.0.0.1:1", Fence.of(1, 0), 1, WorkspaceId.of("north"));

    private final ScriptedMachine machine = new ScriptedMachine();
    private final RecordingTransport transport = new RecordingTransport();
    private CoreLoop loop;

    @AfterEach
    void stop() {
        loop.dispose();
    }

    // -- call

    @Test
    void shouldReturnTheReplyOfTheStateMachineWhenItAnswers() {
        machine.onCall = call -> List.of(new Effect.AnswerClient(call.call(), new ClientReply.Released()));
        start();

        assertEquals(new ClientReply.Released(), loop.call(QUERY).block(LIMIT));
        assertEquals(0, loop.waitingCalls());
    }

    @Test
    void shouldDropTheSecondReplyWhenTheStateMachineAnswersTwice() {
        machine.onCall = call -> List.of(
                new Effect.AnswerClient(call.call(), new ClientReply.Released()),
                new Effect.AnswerClient(call.call(), new ClientReply.Settled()));
        start();

        assertEquals(new ClientReply.Released(), loop.call(QUERY).block(LIMIT));
    }

    @Test
    void shouldReleaseTheSlotWhenItsCallerHasCancelled() {
        List<Event.ClientCalled> acquiring = new CopyOnWriteArrayList<>();
        machine.onCall = call -> {
            if (call.body() instanceof ClientCall.AcquireSlot) {
                acquiring.add(call);
                return List.of();
            }
            return acquiring.stream()
                    .<Effect>map(waiting -> new Effect.AnswerClient(waiting.call(), GRANTED))
                    .toList();
        };
        start();
        Disposable caller = loop.call(new ClientCall.AcquireSlot(WorkspaceId.of("north"), "catalogue", 1_000, false))
                .subscribe();
        await().until(() -> acquiring.size() == 1);

        caller.dispose();
        loop.call(QUERY).subscribe();

        await().until(() -> machine.calls().contains(new ClientCall.ReleaseSlot(7, true, 0)));
    }

    @Test
    void shouldRejectCallsButAcceptAnswersWhenTheInboxIsFull() {
        start();
        machine.pause();
        List<ClientReply> replies = new CopyOnWriteArrayList<>();
        int calls = 25_000;

        for (int i = 0; i < calls; i++) {
            loop.call(QUERY).subscribe(replies::add);
        }
        boolean answerAccepted = loop.offer(new Event.TableAnswered(1, new TableReply.Committed(1)));
        await().until(() -> !replies.isEmpty());

        ClientReply.Failed rejected = assertInstanceOf(ClientReply.Failed.class, replies.getFirst());
        assertEquals(Outcome.NOT_RUN, rejected.failure().outcome());
        assertTrue(rejected.failure().retryAfterMs().isPresent());
        assertTrue(answerAccepted);
        machine.resume();
        await().until(() -> machine.received(Event.TableAnswered.class).size() == 1);
        assertTrue(machine.calls().size() < calls);
    }

    // -- effects

    @Test
    void shouldPassTheAnswersToTheStateMachineWhenItCallsTableAndWorker() {
        machine.onCall = call -> List.of(
                new Effect.CallTable(1, new TableRequest.Read(List.of("a"))),
                new Effect.CallWorker(2, WorkerId.of("w1"), "127.0.0.1:1", new WorkerCommand.Release(Fence.none())));
        start();

        loop.call(QUERY).subscribe();

        await().until(() -> machine.received(Event.WorkerAnswered.class).size() == 1);
        await().until(() -> machine.received(Event.TableAnswered.class).size() == 1);
        Event.TableAnswered table = (Event.TableAnswered)
                machine.received(Event.TableAnswered.class).getFirst();
        assertEquals(1, table.call());
        assertInstanceOf(TableReply.Unavailable.class, table.reply());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void shouldLinkTheSpanOfATableCallToItsRequestsWhenTheyArriveTogether(int requests) throws Exception {
        List<SpanData> ended = new CopyOnWriteArrayList<>();
        machine.onCall = call -> List.of(new Effect.CallTable(call.call(), new TableRequest.Read(List.of("a"))));
        try (Tracing tracing = Tracing.exporting(TracingTest.exporter(ended), HostId.of("h1"))) {
            start(tracing);
            machine.pause();
            loop.call(new ClientCall.QueryStatus()).subscribe();
            // what is queued while a tick is blocked belongs to the next one
            await().until(machine::blocked);
            for (int i = 0; i < requests; i++) {
                Span span = tracing.start("entry", SpanKind.SERVER, "");
                loop.call(QUERY).contextWrite(tracing.within(span)).subscribe();
            }
            machine.resume();
            await().until(() -> ended.size() == requests + 1);
        }
        boolean child = ended.getLast().getParentSpanContext().isValid();
        int links = ended.getLast().getLinks().size();
        assertEquals(requests == 1, child);
        assertEquals(requests == 1 ? 0 : requests, links);
    }

    @Test
    void shouldSendTheEncodedMessageWhenTheStateMachineSendsToAPeer() throws AcaciafoldException {
        PeerMessage message = new PeerMessage.SettingsChanged(5);
        machine.onCall = call -> List.of(new Effect.SendPeer(HostId.of("h2"), "127.0.0.1:9", message));
        start();

        loop.call(QUERY).subscribe();

        await().until(() -> transport.sent.size() == 1);
        assertEquals(
                message, Codec.messagePack().decode(transport.sent.getFirst(), PeerMessage.class, Step.PEER, "h2"));
    }

    // -- snapshot

    @Test
    void shouldPublishTheHostListWhenItWasRead() {
        start();
        HostEntry entry = TestHost.entry("h2", org.acaciafold.core.port.HostRole.ENTRY);

        loop.offer(new Event.HostsListed(new HostList(List.of(entry))));

        await().until(() -> loop.snapshot().peerAddress(HostId.of("h2")).isPresent());
        assertFalse(loop.snapshot().peerAddress(HostId.of("h3")).isPresent());
    }

    // -- failure

    @Test
    void shouldFailTheWaitingCallsAndEndWhenTheStateMachineThrows() {
        machine.onCall = call -> {
            throw new IllegalStateException("broken");
        };
        start();

        ClientReply reply = loop.call(QUERY).block(LIMIT);

        assertEquals(
                Outcome.UNKNOWN,
                assertInstanceOf(ClientReply.Failed.class, reply).failure().outcome());
        assertThrows(IllegalStateException.class, () -> loop.ended().block(LIMIT));
        assertFalse(loop.snapshot().ready());
        assertEquals(
                Outcome.NOT_RUN,
                assertInstanceOf(ClientReply.Failed.class, loop.call(QUERY).block(LIMIT))
                        .failure()
                        .outcome());
    }

    // -- stop

    @Test
    void shouldCompleteWhenEverythingIsHandedOver() {
        start();

        loop.stop().block(LIMIT);

        assertEquals(1, machine.received(Event.StopRequested.class).size());
    }

    private void start() {
        start(Tracing.none());
    }

    private void start(Tracing tracing) {
        PlatformClients clients = new PlatformClients(
                request -> Mono.error(new IllegalStateException("down")),
                Mono::never,
                (address, command) -> Mono.just(new WorkerReply.Done()));
        HostMetrics metrics = HostMetrics.create();
        loop = CoreLoop.start(machine, EffectRunner.of(clients, transport, metrics, tracing), metrics);
    }

    /** A state machine whose replies to calls are set by the test. */
    private static final class ScriptedMachine implements StateMachine {
        private final List<Event> events = new CopyOnWriteArrayList<>();
        private volatile java.util.function.Function<Event.ClientCalled, List<Effect>> onCall = call -> List.of();
        private volatile CountDownLatch gate = new CountDownLatch(0);
        private volatile boolean blocked;

        @Override
        public HostSnapshot snapshot(List<HostEntry> hosts) {
            HostSnapshot empty = HostSnapshot.empty();
            return new HostSnapshot(empty.settings(), hosts, 0, 0, true, false);
        }

        @Override
        public List<Effect> tick(List<Event> batch) {
            blocked = gate.getCount() > 0;
            await(gate);
            blocked = false;
            events.addAll(batch);
            List<Effect> effects = new ArrayList<>();
            for (Event event : batch) {
                switch (event) {
                    case Event.ClientCalled call -> effects.addAll(onCall.apply(call));
                    case Event.StopRequested ignored -> effects.add(new Effect.Stopped());
                    default -> {
                        // only recorded
                    }
                }
            }
            return effects;
        }

        private boolean blocked() {
            return blocked;
        }

        private List<ClientCall> calls() {
            return received(Event.ClientCalled.class).stream()
                    .map(event -> ((Event.ClientCalled) event).body())
                    .toList();
        }

        private void pause() {
            gate = new CountDownLatch(1);
        }

        private List<Event> received(Class<? extends Event> type) {
            return events.stream().filter(type::isInstance).toList();
        }

        private void resume() {
            gate.countDown();
        }

        private static void await(CountDownLatch gate) {
            try {
                assertTrue(gate.await(LIMIT.toSeconds(), TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** A transport that records the messages sent. */
    private static final class RecordingTransport implements PeerTransport {
        private final List<byte[]> sent = new CopyOnWriteArrayList<>();

        @Override
        public Mono<Void> close() {
            return Mono.empty();
        }

        @Override
        public Mono<RelayResponse> relay(String address, RelayRequest request) {
            return Mono.never();
        }

        @Override
        public void send(String address, byte[] message) {
            sent.add(message);
        }
    }
}
