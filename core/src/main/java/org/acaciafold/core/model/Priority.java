package org.acaciafold.core.model;

/** The priority class of a job. Jobs of an earlier constant are placed before those of a later one. */
public enum Priority {
    /** Starts before all other jobs. */
    URGENT,
    /** The default class. */
    NORMAL,
    /** Runs only on capacity that no other job requests. */
    LOW
}
