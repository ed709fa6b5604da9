package org.acaciafold.daemon;

import java.util.List;

import org.acaciafold.coordination.Effect;
import org.acaciafold.coordination.Event;
import org.acaciafold.coordination.HostCore;
import org.acaciafold.core.port.HostEntry;

/** The state machine that the loop runs on a single thread: it makes the decisions of an entry host. */
interface StateMachine {
    /** Returns the state machine that runs the core of a real host. */
    static StateMachine of(HostCore core) {
        return new StateMachine() {
            @Override
            public HostSnapshot snapshot(List<HostEntry> hosts) {
                return new HostSnapshot(
                        core.settings(), hosts, core.ownedSlices(), core.lateAnswers(), core.settingsKnown(), false);
            }

            @Override
            public List<Effect> tick(List<Event> events) {
                return core.tick(events);
            }
        };
    }

    /**
     * Returns the state that other threads may read after a tick.
     *
     * @param hosts the host list as last read
     * @return the snapshot
     */
    HostSnapshot snapshot(List<HostEntry> hosts);

    /**
     * Applies events and makes the decisions that follow from them.
     *
     * @param events the events since the last tick, in order
     * @return the effects to execute, in order
     */
    List<Effect> tick(List<Event> events);
}
