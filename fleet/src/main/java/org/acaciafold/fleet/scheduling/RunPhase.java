package org.acaciafold.fleet.scheduling;

/** What is known of a run that takes room on a worker. */
enum RunPhase {
    /** It is chosen, and no order is sent before that is recorded. */
    CLAIMED,
    /** The order to start it has been sent. */
    STARTING,
    /** The order got no answer: the run may be there, or may come later. */
    UNCONFIRMED,
    /** The worker has confirmed it. */
    RUNNING
}
