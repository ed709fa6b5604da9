package org.acaciafold.core.placement;

/** Whether placement may use a worker. */
public enum WorkerState {
    /** The worker accepts new tasks. */
    READY,
    /** The worker does not respond; it counts as full. */
    UNREACHABLE,
    /** The worker accepts no new tasks, and its tasks are moved to other workers. */
    LEAVING
}
