package org.acaciafold.proof.soak;

/** A temporary fault that is injected from outside the hosts. */
sealed interface Fault {
    /** The way in which the connections of a link are disturbed. */
    enum Harm {
        RESET,
        SILENT,
        REQUESTS_HELD,
        ANSWERS_HELD,
        DELAYED
    }

    /** The connections of a host that are disturbed. */
    enum Link {
        STORE,
        WORKERS,
        PEERS,
        CONSUMERS
    }

    /** The signal that ends a process. */
    enum Ending {
        KILL,
        TERM
    }

    /**
     * The connections of one kind of a host are disturbed.
     *
     * @param host the host, counted from 0
     * @param link which connections
     * @param harm how they are disturbed
     */
    record LinkHarmed(int host, Link link, Harm harm) implements Fault {}

    /**
     * A host's process ends and is restarted when the fault ends.
     *
     * @param host the host
     * @param ending the signal that ends it
     */
    record HostDown(int host, Ending ending) implements Fault {}

    /** All hosts are killed one directly after the other and are restarted when the fault ends. */
    record AllHostsDown() implements Fault {}

    /**
     * A host's process is paused.
     *
     * @param host the host
     */
    record HostFrozen(int host) implements Fault {}

    /**
     * A host is signalled to reload its settings.
     *
     * @param host the host
     */
    record HostReloads(int host) implements Fault {}

    /** The store is unresponsive. */
    record StoreSilent() implements Fault {}

    /**
     * The store responds with a delay.
     *
     * @param delayMs the delay in milliseconds
     */
    record StoreSlow(long delayMs) implements Fault {}

    /**
     * The store applies transactions, but their responses are lost.
     *
     * @param transactions the number of transactions without a response
     */
    record AnswersLost(int transactions) implements Fault {}

    /**
     * A worker loses all its state and is restarted under the same identifier.
     *
     * @param worker the worker, counted from 0
     */
    record WorkerCrashed(int worker) implements Fault {}
}
