package org.acaciafold.core.model;

/** The class of a job in the order of placement, the first before the later ones. */
public enum Priority {
    /** Starts before all other jobs. */
    URGENT,
    /** The class of jobs that ask for nothing else. */
    NORMAL,
    /** Runs in capacity that nobody else asks for. */
    LOW
}
