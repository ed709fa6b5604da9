package org.acaciafold.fleet.scheduling;

/** The phase of a run that occupies capacity on a worker. */
enum RunPhase {
    /** A worker is chosen for the run; no order is sent before the claim is recorded. */
    CLAIMED,
    /** The order to start the run has been sent. */
    STARTING,
    /** The order got no answer: the run may be on the worker, or may start later. */
    UNCONFIRMED,
    /** The worker has confirmed the run. */
    RUNNING
}
