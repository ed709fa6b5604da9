package org.acaciafold.fleet.scheduling;

/** Why a ready step did not start all of its waiting tasks in the last tick. */
enum WaitReason {
    /** All waiting tasks were claimed. */
    NONE,
    /** The step has expired, and its service is used too much for expired steps. */
    SERVICE_USED,
    /** No worker that the step may use has free capacity. */
    NO_CAPACITY,
    /** The workspace's limit allows no further task. */
    WORKSPACE_LIMIT,
    /** Members of the gang still run. */
    GANG_INCOMPLETE,
    /** A call for advice is needed and in flight, or requested in this tick. */
    ADVICE_CALL,
    /** A call for advice is needed, but the pause after the last one is not over. */
    ADVICE_PAUSE,
    /** A call for advice is needed, but no host is free to make it. */
    NO_ADVICE_HOST
}
