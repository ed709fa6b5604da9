package org.acaciafold.coordination;

/** A part of the entry host's state machine; systems run in a fixed order in each tick. */
interface HostSystem {
    /**
     * Handles one event; a system ignores events that concern other systems.
     *
     * @param event the event
     * @param outbox receives the effects
     */
    void apply(Event event, Outbox outbox);

    /**
     * Runs after all events of a tick are applied.
     *
     * @param nowMs the time of the tick in milliseconds
     * @param outbox receives the effects
     */
    void tick(long nowMs, Outbox outbox);

    /**
     * Returns whether this system has finished all work that must precede the handover of slices.
     *
     * @return true if this system does not delay the handover of slices
     */
    default boolean idle() {
        return true;
    }

    /**
     * Returns whether this system has finished all work that follows the handover of all slices.
     *
     * @return true if this system does not delay the exit of the process
     */
    default boolean released() {
        return true;
    }
}
