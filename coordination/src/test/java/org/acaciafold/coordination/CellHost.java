package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.core.model.Clock;
import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.HostId;

/** An entry host of a test cell that can fail, or pause between a tick and the execution of its effects. */
final class CellHost {
    private final HostId id;
    private final DomainId domain;
    private final HostCore core;
    private final List<Event> inbox = new ArrayList<>();
    private final Map<Long, ClientReply> replies = new HashMap<>();
    private List<Effect> pendingEffects = List.of();
    private boolean alive = true;
    private boolean paused;

    private CellHost(HostId id, DomainId domain, HostCore core) {
        this.id = id;
        this.domain = domain;
        this.core = core;
    }

    static CellHost of(HostId id, DomainId domain, long incarnation, Clock clock) {
        HostConfig config = HostConfig.builder(id, domain, incarnation).build();
        return new CellHost(id, domain, HostCore.of(config, clock));
    }

    boolean alive() {
        return alive;
    }

    void recordReply(Effect.AnswerClient answer) {
        replies.put(answer.call(), answer.reply());
    }

    HostCore core() {
        return core;
    }

    DomainId domain() {
        return domain;
    }

    HostId id() {
        return id;
    }

    void kill() {
        alive = false;
    }

    /** Pauses the host after a tick; the effects of that tick are executed when the host resumes. */
    void pause() {
        pendingEffects = core.tick(List.copyOf(inbox));
        inbox.clear();
        paused = true;
    }

    void resume() {
        paused = false;
    }

    void receive(Event event) {
        if (alive) {
            inbox.add(event);
        }
    }

    Optional<ClientReply> reply(long call) {
        return Optional.ofNullable(replies.get(call));
    }

    boolean running() {
        return alive && !paused;
    }

    List<Effect> tick() {
        if (!running()) {
            return List.of();
        }
        List<Effect> effects = new ArrayList<>(pendingEffects);
        pendingEffects = List.of();
        List<Event> events = List.copyOf(inbox);
        inbox.clear();
        effects.addAll(core.tick(events));
        return effects;
    }
}
