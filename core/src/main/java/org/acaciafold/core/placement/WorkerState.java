package org.acaciafold.core.placement;

/** Whether placement may use a worker. */
public enum WorkerState {
    /** It takes new tasks. */
    READY,
    /** It does not answer; it counts as full. */
    UNREACHABLE,
    /** It takes no new tasks and those on it move away. */
    LEAVING
}
