package org.acaciafold.daemon;

import java.util.List;

import org.acaciafold.coordination.Effect;
import org.acaciafold.coordination.Event;
import org.acaciafold.coordination.HostCore;
import org.acaciafold.core.port.HostEntry;

/** What the loop runs: the decisions of an entry host, used on one thread alone. */
interface StateMachine {
    /** Returns the decisions of a real host. */
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
     * Returns what other threads may know after a tick.
     *
     * @param hosts the host list as last read
     * @return the snapshot
     */
    HostSnapshot snapshot(List<HostEntry> hosts);

    /**
     * Applies events and decides.
     *
     * @param events what happened since the last tick, in order
     * @return the effects to carry out, in order
     */
    List<Effect> tick(List<Event> events);
}
