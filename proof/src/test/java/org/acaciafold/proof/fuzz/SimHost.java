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

/** Simulates an entry host: runs its state machine and can be killed, stopped or paused. */
final class SimHost {
    private final HostId id;
    private final String domain;
    private final HostCore core;
    private final List<Event> inbox = new ArrayList<>();
    private List<Effect> delayedEffects = List.of();
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

    /**
     * Pauses the host until the given time.
     *
     * <p>The host runs a tick before the pause, and the effects of that tick are sent after it.
     */
    void pause(long nowMs, long untilMs) {
        if (nowMs >= pausedUntilMs) {
            delayedEffects = core.tick(List.copyOf(inbox));
            inbox.clear();
        }
        pausedUntilMs = Math.max(pausedUntilMs, untilMs);
    }

    /** Pauses the host at the next tick that starts a task; the effects of that tick are sent after the pause. */
    void pauseAtStart(long ms) {
        pauseAtStartMs = ms;
    }

    boolean paused(long nowMs) {
        return nowMs < pausedUntilMs;
    }

    Network.Location location() {
        return new Network.Location(domain, id.value());
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

    /** Runs one tick and returns its effects, preceded by those that a pause delayed. */
    List<Effect> tick(long nowMs) {
        if (!alive || paused(nowMs)) {
            return List.of();
        }
        List<Effect> effects = new ArrayList<>(delayedEffects);
        delayedEffects = List.of();
        List<Event> events = List.copyOf(inbox);
        inbox.clear();
        effects.addAll(core.tick(events));
        if (pauseAtStartMs > 0 && effects.stream().anyMatch(SimHost::startsTask)) {
            pausedUntilMs = nowMs + pauseAtStartMs;
            pauseAtStartMs = 0;
            delayedEffects = effects;
            return List.of();
        }
        return effects;
    }

    void resume() {
        pauseAtStartMs = 0;
        pausedUntilMs = 0;
    }

    private static boolean startsTask(Effect effect) {
        return effect instanceof Effect.CallWorker call && call.command() instanceof WorkerCommand.Start;
    }
}
