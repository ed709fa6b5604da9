package org.acaciafold.proof.soak;

/** Something that goes wrong from outside the hosts, for a while. */
sealed interface Fault {
    /** What happens to the connections of a link. */
    enum Harm {
        RESET,
        SILENT,
        REQUESTS_HELD,
        ANSWERS_HELD,
        DELAYED
    }

    /** Which connections of a host are harmed. */
    enum Link {
        STORE,
        WORKERS,
        PEERS,
        CONSUMERS
    }

    /** How a process ends. */
    enum Ending {
        KILL,
        TERM
    }

    /**
     * A host's connections of one kind.
     *
     * @param host the host, counted from 0
     * @param link which connections
     * @param harm what happens to them
     */
    record LinkHarmed(int host, Link link, Harm harm) implements Fault {}

    /**
     * A host's process ends, and starts again afterwards.
     *
     * @param host the host
     * @param ending how it ends
     */
    record HostDown(int host, Ending ending) implements Fault {}

    /** All hosts are killed at the same moment, and start again afterwards. */
    record AllHostsDown() implements Fault {}

    /**
     * A host's process stands still.
     *
     * @param host the host
     */
    record HostFrozen(int host) implements Fault {}

    /**
     * A host is told to read its settings again.
     *
     * @param host the host
     */
    record HostReloads(int host) implements Fault {}

    /** The store answers nothing. */
    record StoreSilent() implements Fault {}

    /**
     * The store is slow.
     *
     * @param delayMs by how many milliseconds
     */
    record StoreSlow(long delayMs) implements Fault {}

    /**
     * The store applies transactions without answering them.
     *
     * @param transactions how many
     */
    record AnswersLost(int transactions) implements Fault {}

    /**
     * A worker loses everything and starts again under its identifier.
     *
     * @param worker the worker, counted from 0
     */
    record WorkerCrashed(int worker) implements Fault {}
}
