package org.acaciafold.core.placement;

/** How an all-at-once job waits for room. */
public sealed interface GangPolicy {
    /**
     * Reserves room after a wait; smaller jobs fill it only when they end in time.
     *
     * @param afterMs the wait in milliseconds before room is reserved
     */
    record Reserve(long afterMs) implements GangPolicy {}

    /**
     * Starts only when there happens to be room.
     */
    record WhenFree() implements GangPolicy {}
}
