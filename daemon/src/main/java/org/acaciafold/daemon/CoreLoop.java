package org.acaciafold.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.acaciafold.coordination.ClientCall;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.coordination.Effect;
import org.acaciafold.coordination.Event;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.port.HostEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Runs the state machine on a dedicated thread: passes it events, ticks it and executes its effects.
 *
 * <p>Each event triggers a tick promptly. Without events, a tick runs every {@value #TICK_MS} ms while calls are
 * pending or the last tick produced effects, else every {@value #IDLE_TICKS} times {@value #TICK_MS} ms. An exception
 * in the state machine stops it for good, because its tables may then be partly updated: its leases expire and another
 * entry host takes over.
 */
public final class CoreLoop implements CoreCalls {
    private static final Logger LOG = LoggerFactory.getLogger(CoreLoop.class);
    private static final long TICK_MS = 20;
    private static final int IDLE_TICKS = 5;
    private static final int EVENTS_PER_TICK = 4_096;
    private static final int MAX_LINKS = 32;
    private static final int INBOX_LIMIT = 20_000;
    private static final long REPLY_LIMIT_MS = 30_000;
    private static final long RETRY_AFTER_MS = 1_000;
    private static final String SELF = "entry-host";

    private final StateMachine core;
    private final EffectRunner effects;
    private final HostMetrics metrics;
    private final Scheduler thread = Schedulers.newSingle("core");
    private final Queue<Event> inbox = new ConcurrentLinkedQueue<>();
    private final AtomicInteger inboxSize = new AtomicInteger();
    private final AtomicBoolean tickDue = new AtomicBoolean();
    private final AtomicLong lastCall = new AtomicLong();
    private final Map<Long, MonoSink<ClientReply>> waiting = new ConcurrentHashMap<>();
    private final Map<Long, String> traces = new ConcurrentHashMap<>();
    private final Sinks.Empty<Void> stopped = Sinks.empty();
    private int idleTicks;
    private boolean hadEffects;
    private volatile HostSnapshot snapshot = HostSnapshot.empty();
    private volatile List<HostEntry> hosts = List.of();

    private CoreLoop(StateMachine core, EffectRunner effects, HostMetrics metrics) {
        this.core = core;
        this.effects = effects;
        this.metrics = metrics;
    }

    /**
     * Starts a loop that runs a state machine.
     *
     * @param core the state machine; no other thread may use it from now on
     * @param effects executes its effects
     * @param metrics the metrics in which ticks and queue lengths are recorded
     * @return the running loop
     */
    static CoreLoop start(StateMachine core, EffectRunner effects, HostMetrics metrics) {
        CoreLoop loop = new CoreLoop(core, effects, metrics);
        metrics.watch(loop);
        loop.thread.schedulePeriodically(loop::tickWhenDue, 0, TICK_MS, TimeUnit.MILLISECONDS);
        return loop;
    }

    @Override
    public Mono<ClientReply> call(ClientCall call) {
        return Mono.<ClientReply>create(sink -> register(call, sink))
                .publishOn(Schedulers.parallel())
                .doOnDiscard(ClientReply.SlotGranted.class, this::release);
    }

    /**
     * Stops the loop without a handover and fails all pending calls.
     */
    void dispose() {
        thread.dispose();
        failAll("stopped", "the entry host has stopped");
    }

    /** Returns a signal that completes after the handover; an error signal when the state machine has failed. */
    Mono<Void> ended() {
        return stopped.asMono();
    }

    /**
     * Returns the state of the state machine that other threads may read.
     *
     * @return the snapshot of the last tick
     */
    public HostSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Requests that the state machine hand over everything that it owns.
     *
     * @return completes after the handover; an error signal when the state machine has failed
     */
    Mono<Void> stop() {
        offer(new Event.StopRequested());
        return ended();
    }

    /** Returns the number of events that are queued for a tick. */
    int inboxSize() {
        return inboxSize.get();
    }

    /**
     * Queues an event for the next tick. While the inbox is full, peer messages and calls are dropped; answers are
     * always accepted.
     *
     * @param event the event
     * @return false when the event was dropped
     */
    boolean offer(Event event) {
        boolean droppable = event instanceof Event.PeerReceived || event instanceof Event.ClientCalled;
        if (snapshot.failed() || droppable && inboxSize.get() >= INBOX_LIMIT) {
            metrics.inboxFull();
            return false;
        }
        if (event instanceof Event.HostsListed listed) {
            hosts = List.copyOf(listed.hosts().hosts());
        }
        inboxSize.incrementAndGet();
        inbox.add(event);
        wake();
        return true;
    }

    /** Returns the number of calls that are waiting for a reply. */
    int waitingCalls() {
        return waiting.size();
    }

    private void answer(Effect.AnswerClient answer) {
        MonoSink<ClientReply> sink = waiting.remove(answer.call());
        if (sink != null) {
            sink.success(answer.reply());
        } else if (answer.reply() instanceof ClientReply.SlotGranted granted) {
            release(granted);
        }
    }

    private void execute(Effect effect, List<String> requests) {
        switch (effect) {
            case Effect.AnswerClient answer -> answer(answer);
            case Effect.CallTable call -> effects.callTable(call, requests, this::offer);
            case Effect.CallWorker call -> effects.callWorker(call, this::offer);
            case Effect.SendPeer send -> effects.sendPeer(send);
            case Effect.Stopped ignored -> stopped.tryEmitEmpty();
        }
    }

    private List<Event> drain() {
        List<Event> events = new ArrayList<>();
        while (events.size() < EVENTS_PER_TICK) {
            Event event = inbox.poll();
            if (event == null) {
                return events;
            }
            inboxSize.decrementAndGet();
            events.add(event);
        }
        wake();
        return events;
    }

    private void expire(long call) {
        MonoSink<ClientReply> sink = waiting.remove(call);
        if (sink != null) {
            String message = "no reply within the limit";
            sink.success(new ClientReply.Failed(Failure.unknown(Step.ROUTING, SELF, "no-reply", message)));
        }
    }

    private void fail(RuntimeException error) {
        LOG.error("the state machine failed and was stopped; its leases will expire", error);
        snapshot = new HostSnapshot(snapshot.settings(), hosts, 0, snapshot.lateAnswers(), false, true);
        stopped.tryEmitError(error);
        dispose();
    }

    private void failAll(String code, String message) {
        for (Long call : waiting.keySet()) {
            MonoSink<ClientReply> sink = waiting.remove(call);
            if (sink != null) {
                sink.success(new ClientReply.Failed(Failure.unknown(Step.ROUTING, SELF, code, message)));
            }
        }
    }

    /** Releases a slot whose caller has cancelled or timed out in the meantime. */
    private void release(ClientReply.SlotGranted granted) {
        offer(new Event.ClientCalled(lastCall.incrementAndGet(), new ClientCall.ReleaseSlot(granted.slot(), true, 0)));
    }

    private void register(ClientCall call, MonoSink<ClientReply> sink) {
        long number = lastCall.incrementAndGet();
        waiting.put(number, sink);
        String trace = Tracing.current(sink.contextView());
        if (!trace.isEmpty()) {
            traces.put(number, trace);
        }
        Disposable timer =
                Schedulers.parallel().schedule(() -> expire(number), replyLimitMs(call), TimeUnit.MILLISECONDS);
        sink.onDispose(() -> {
            timer.dispose();
            waiting.remove(number);
            traces.remove(number);
        });
        if (!offer(new Event.ClientCalled(number, call)) && waiting.remove(number) != null) {
            Failure failure = Failure.notRun(Step.ADMISSION, SELF, "overloaded", "the entry host cannot take the call")
                    .withRetryAfterMs(RETRY_AFTER_MS);
            sink.success(new ClientReply.Failed(failure));
        }
    }

    private void tick() {
        if (snapshot.failed()) {
            return;
        }
        tickDue.set(false);
        idleTicks = 0;
        long startNanos = System.nanoTime();
        try {
            List<Event> events = drain();
            List<String> requests = traces(events);
            List<Effect> outcome = core.tick(events);
            snapshot = core.snapshot(hosts);
            hadEffects = !outcome.isEmpty();
            outcome.forEach(effect -> execute(effect, requests));
        } catch (RuntimeException e) {
            fail(e);
        }
        metrics.tick(Duration.ofNanos(System.nanoTime() - startNanos));
    }

    private void tickWhenDue() {
        idleTicks++;
        if (hadEffects || !waiting.isEmpty() || idleTicks >= IDLE_TICKS) {
            tick();
        }
    }

    /** Returns the trace contexts of the calls among the events, at most {@value #MAX_LINKS}. */
    private List<String> traces(List<Event> events) {
        if (traces.isEmpty()) {
            return List.of();
        }
        return events.stream()
                .filter(Event.ClientCalled.class::isInstance)
                .map(event -> traces.get(((Event.ClientCalled) event).call()))
                .filter(Objects::nonNull)
                .limit(MAX_LINKS)
                .toList();
    }

    private void wake() {
        if (!tickDue.compareAndSet(false, true)) {
            return;
        }
        try {
            thread.schedule(this::tick);
        } catch (RejectedExecutionException e) {
            LOG.debug("event received after the loop was disposed of", e);
        }
    }

    private static long replyLimitMs(ClientCall call) {
        return call instanceof ClientCall.AcquireSlot acquire ? acquire.waitMs() + REPLY_LIMIT_MS : REPLY_LIMIT_MS;
    }
}
