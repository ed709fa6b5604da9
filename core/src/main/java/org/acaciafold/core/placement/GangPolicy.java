package org.acaciafold.core.placement;

/** How a gang job waits for free capacity. */
public sealed interface GangPolicy {
    /**
     * Reserves capacity after a delay; smaller jobs use it only if they are expected to end in time.
     *
     * @param afterMs the delay in milliseconds before capacity is reserved
     */
    record Reserve(long afterMs) implements GangPolicy {}

    /**
     * Makes no reservation; the job starts when enough capacity is free.
     */
    record WhenFree() implements GangPolicy {}
}
