package org.acaciafold.coordination;

/** A part of the entry host's state machine; systems run in one fixed order in each tick. */
interface HostSystem {
    /**
     * Handles one event; a system ignores the events of others.
     *
     * @param event what happened
     * @param outbox where effects go
     */
    void apply(Event event, Outbox outbox);

    /**
     * Runs after all events of a tick were applied.
     *
     * @param nowMs the time of the tick in milliseconds
     * @param outbox where effects go
     */
    void tick(long nowMs, Outbox outbox);

    /**
     * Tells whether this system has nothing left that a graceful stop must wait for.
     *
     * @return true when slices may be handed over as far as this system is concerned
     */
    default boolean idle() {
        return true;
    }

    /**
     * Tells whether this system has nothing left that must follow the handover of all slices.
     *
     * @return true when the process may end as far as this system is concerned
     */
    default boolean released() {
        return true;
    }
}
