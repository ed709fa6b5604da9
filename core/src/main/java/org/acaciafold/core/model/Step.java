package org.acaciafold.core.model;

/** The step at which an error occurred. */
public enum Step {
    /** Reading or validating settings. */
    SETTINGS,
    /** Authenticating a key and checking its workspace. */
    AUTHORIZATION,
    /** Admitting a request or job: limits, queues and deadlines. */
    ADMISSION,
    /** Claiming an idempotency key. */
    CLAIM,
    /** Selecting a slice, owner or worker. */
    ROUTING,
    /** Reading or writing the table service. */
    TABLE,
    /** Reading or writing the object store. */
    OBJECTS,
    /** Exchanging a message with a peer entry host. */
    PEER,
    /** Placing a task on a worker. */
    PLACEMENT,
    /** Sending a command or request to a worker. */
    WORKER,
    /** Relaying a response to the caller. */
    RESPONSE
}
