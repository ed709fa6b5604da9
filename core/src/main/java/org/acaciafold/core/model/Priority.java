package org.acaciafold.core.model;

/** The priority class of a job. Earlier constants are placed before later ones. */
public enum Priority {
    /** Starts before all other jobs. */
    URGENT,
    /** The default class. */
    NORMAL,
    /** Runs only on capacity that no other job requests. */
    LOW
}
