package org.acaciafold.coordination;

import java.util.List;

import org.acaciafold.core.model.Clock;
import org.acaciafold.settings.FleetSettings;

/**
 * The whole of an entry host's decisions as a deterministic state machine.
 *
 * <p>The caller feeds events and carries the effects out; nothing here does I/O, blocks or starts threads.
 *
 * <p>Example: {@code core.tick(List.of(new Event.ClientCalled(1, call))).forEach(runtime::carryOut)}.
 */
public final class HostCore {
    private final Clock clock;
    private final HostState state;
    private final Outbox outbox;
    private final RegistrationGate gate;
    private final List<HostSystem> systems;
    private boolean stopped;

    private HostCore(HostState state, Outbox outbox, List<HostSystem> systems) {
        this.clock = state.clock();
        this.state = state;
        this.gate = RegistrationGate.of(state);
        this.outbox = outbox;
        this.systems = systems;
    }

    /**
     * Creates the state machine of an entry host that knows nothing yet.
     *
     * @param config what the host is told at its start
     * @param clock the clock of the process
     * @return the state machine
     */
    public static HostCore of(HostConfig config, Clock clock) {
        return of(HostState.of(config, clock));
    }

    /** Creates the state machine over tables that a test can look into. */
    static HostCore of(HostState state) {
        return new HostCore(state, Outbox.of(state.config().callTimeoutMs()), Systems.inOrder(state));
    }

    /**
     * Returns how many answers of the table service and of workers came after their timeout.
     *
     * @return the count since the start
     */
    public long lateAnswers() {
        return outbox.lateAnswers();
    }

    /**
     * Returns how many slices this host owns.
     *
     * @return the number of slices
     */
    public int ownedSlices() {
        return state.owned().size();
    }

    /**
     * Returns the settings in force at this host.
     *
     * @return the whole settings tree
     */
    public FleetSettings settings() {
        return state.settings();
    }

    /**
     * Returns whether the settings tree was read since the start.
     *
     * @return false while the host cannot tell a key that is in force from another
     */
    public boolean settingsKnown() {
        return state.settingsKnown();
    }

    /**
     * Applies events and runs all systems once.
     *
     * @param events what happened since the last tick, in order
     * @return the effects to carry out, in order
     */
    public List<Effect> tick(List<Event> events) {
        state.beginTick(clock.nowMs());
        for (Event event : events) {
            apply(event);
        }
        long nowMs = clock.nowMs();
        outbox.expire(nowMs);
        state.tableAnswers(outbox.tableAnswers());
        for (HostSystem system : systems) {
            system.tick(nowMs, outbox);
        }
        stopWhenIdle();
        return outbox.drain();
    }

    /** Lets slices be handed over when all other systems are idle, and ends when that is done. */
    private void stopWhenIdle() {
        if (!state.stopping() || stopped) {
            return;
        }
        boolean drained = true;
        boolean handedOver = true;
        boolean released = true;
        for (HostSystem system : systems) {
            released &= system.released();
            if (system instanceof OwnershipSystem) {
                handedOver = system.idle();
            } else {
                drained &= system.idle();
            }
        }
        state.drained(drained);
        if (drained && handedOver && released) {
            stopped = true;
            outbox.stopped();
        }
    }

    private void apply(Event event) {
        switch (event) {
            case Event.TableAnswered answered -> outbox.deliver(answered.call(), answered.reply());
            case Event.WorkerAnswered answered -> outbox.deliver(answered.call(), answered.reply());
            default -> {
                if (gate.admits(event, outbox)) {
                    systems.forEach(system -> system.apply(event, outbox));
                }
            }
        }
    }
}
