package org.acaciafold.core.port;

/** The role of a machine in the host list. */
public enum HostRole {
    /** The machine runs an entry host. */
    ENTRY,
    /** The machine runs tasks. */
    WORKER
}
