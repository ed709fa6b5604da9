package org.acaciafold.proof.fuzz;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.coordination.Effect;
import org.acaciafold.coordination.Event;
import org.acaciafold.coordination.HostConfig;
import org.acaciafold.coordination.HostCore;
import org.acaciafold.core.model.Clock;
import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.HostRole;
import org.acaciafold.core.port.WorkerCommand;

/** An entry host of the fuzz world: its state machine, and whether it is dead or paused. */
final class SimHost {
    private final HostId id;
    private final String domain;
    private final HostCore core;
    private final List<Event> inbox = new ArrayList<>();
    private List<Effect> held = List.of();
    private boolean alive = true;
    private boolean stopping;
    private long pausedUntilMs;
    private long pauseAtStartMs;

    SimHost(HostId id, String domain, long incarnation, Clock clock) {
        this.id = id;
        this.domain = domain;
        HostConfig config = HostConfig.builder(id, DomainId.of(domain), incarnation)
                .seed(incarnation)
                .build();
        this.core = HostCore.of(config, clock);
    }

    boolean alive() {
        return alive;
    }

    String domain() {
        return domain;
    }

    HostEntry entry() {
        return new HostEntry(id.value(), HostRole.ENTRY, DomainId.of(domain), "rack", id.value(), id.value(), stopping);
    }

    HostId id() {
        return id;
    }

    void kill() {
        alive = false;
    }

    int ownedSlices() {
        return alive ? core.ownedSlices() : 0;
    }

    /** Stops the host for a while between deciding and sending: the effects of its next tick leave after the pause. */
    void pause(long nowMs, long untilMs) {
        if (nowMs >= pausedUntilMs) {
            held = core.tick(List.copyOf(inbox));
            inbox.clear();
        }
        pausedUntilMs = Math.max(pausedUntilMs, untilMs);
    }

    /** Pauses the host when it next sends a start, before the start leaves. */
    void pauseAtStart(long ms) {
        pauseAtStartMs = ms;
    }

    boolean paused(long nowMs) {
        return nowMs < pausedUntilMs;
    }

    Network.Place place() {
        return new Network.Place(domain, id.value());
    }

    void receive(Event event) {
        if (alive) {
            inbox.add(event);
        }
    }

    void stop() {
        stopping = true;
        receive(new Event.StopRequested());
    }

    boolean stopping() {
        return stopping;
    }

    /** Returns the effects of one tick, those held back by a pause first. */
    List<Effect> tick(long nowMs) {
        if (!alive || paused(nowMs)) {
            return List.of();
        }
        List<Effect> effects = new ArrayList<>(held);
        held = List.of();
        List<Event> events = List.copyOf(inbox);
        inbox.clear();
        effects.addAll(core.tick(events));
        if (pauseAtStartMs > 0 && effects.stream().anyMatch(SimHost::startsTask)) {
            pausedUntilMs = nowMs + pauseAtStartMs;
            pauseAtStartMs = 0;
            held = effects;
            return List.of();
        }
        return effects;
    }

    void wake() {
        pauseAtStartMs = 0;
        pausedUntilMs = 0;
    }

    private static boolean startsTask(Effect effect) {
        return effect instanceof Effect.CallWorker call && call.command() instanceof WorkerCommand.Start;
    }
}
