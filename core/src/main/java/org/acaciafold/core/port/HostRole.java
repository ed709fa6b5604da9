package org.acaciafold.core.port;

/** What a listed machine does. */
public enum HostRole {
    /** It runs the entry host of this project. */
    ENTRY,
    /** It runs tasks. */
    WORKER
}
