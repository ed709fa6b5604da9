package org.acaciafold.coordination;

import java.util.List;

import org.acaciafold.core.model.Clock;
import org.acaciafold.settings.FleetSettings;

/**
 * Makes all decisions of an entry host as a deterministic state machine.
 *
 * <p>The runtime passes events in and executes the effects; this class does no I/O, never blocks and starts no threads.
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
     * Creates the state machine of an entry host with empty tables.
     *
     * @param config the startup configuration of the host
     * @param clock the clock of the process
     * @return the state machine
     */
    public static HostCore of(HostConfig config, Clock clock) {
        return of(HostState.of(config, clock));
    }

    /** Creates the state machine over the given tables, so that tests can inspect them. */
    static HostCore of(HostState state) {
        return new HostCore(state, Outbox.of(state.config().callTimeoutMs()), Systems.inOrder(state));
    }

    /**
     * Returns how many replies of the table service and of workers arrived after their timeout.
     *
     * @return the count since the start
     */
    public long lateAnswers() {
        return outbox.lateAnswers();
    }

    /**
     * Returns the number of slices that this host owns.
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
     * Returns whether the settings tree was read since the start of the process.
     *
     * @return false while the host cannot check whether a key is in force
     */
    public boolean settingsKnown() {
        return state.settingsKnown();
    }

    /**
     * Applies events, then runs all systems once.
     *
     * @param events the events since the last tick, in order
     * @return the effects to execute, in order
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

    /** Allows the handover of slices once all other systems are idle, and stops once the handover is complete. */
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
