package org.acaciafold.coordination;

import java.util.Objects;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.HostId;

/** The startup configuration of an entry host: its identity and its leases and timeouts in milliseconds. */
public final class HostConfig {
    private final HostId host;
    private final DomainId domain;
    private final long incarnation;
    private final long heartbeatMs;
    private final long controlLeaseMs;
    private final long taskLeaseMs;
    private final long callTimeoutMs;
    private final long clockMarginMs;
    private final long seed;

    private HostConfig(Builder builder) {
        host = builder.host;
        domain = builder.domain;
        incarnation = builder.incarnation;
        heartbeatMs = builder.heartbeatMs;
        controlLeaseMs = builder.controlLeaseMs;
        taskLeaseMs = builder.taskLeaseMs;
        callTimeoutMs = builder.callTimeoutMs;
        clockMarginMs = builder.clockMarginMs;
        seed = builder.seed;
    }

    /**
     * Creates a builder with the required values.
     *
     * @param host the entry host
     * @param domain its failure domain
     * @param incarnation a number that is different after each restart of the host
     * @return a builder
     */
    public static Builder builder(HostId host, DomainId domain, long incarnation) {
        return new Builder(host, domain, incarnation);
    }

    /**
     * Returns the timeout of calls to the table service and to workers.
     *
     * @return milliseconds
     */
    public long callTimeoutMs() {
        return callTimeoutMs;
    }

    /**
     * Returns the allowance for clocks that run at different rates.
     *
     * @return milliseconds, added to each validity that another process measures
     */
    public long clockMarginMs() {
        return clockMarginMs;
    }

    /**
     * Returns the validity of a control lease at a worker.
     *
     * @return milliseconds from its receipt
     */
    public long controlLeaseMs() {
        return controlLeaseMs;
    }

    /**
     * Returns the failure domain of the host.
     *
     * @return the failure domain
     */
    public DomainId domain() {
        return domain;
    }

    /**
     * Returns the interval of heartbeats to peers and of renewals.
     *
     * @return milliseconds
     */
    public long heartbeatMs() {
        return heartbeatMs;
    }

    /**
     * Returns the identifier of the host.
     *
     * @return the entry host
     */
    public HostId host() {
        return host;
    }

    /**
     * Returns the incarnation of the host.
     *
     * @return a number that is different after each restart
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the seed of random choices.
     *
     * @return the seed
     */
    public long seed() {
        return seed;
    }

    /**
     * Returns the length of a task lease.
     *
     * @return milliseconds
     */
    public long taskLeaseMs() {
        return taskLeaseMs;
    }

    /** Builds a configuration. */
    public static final class Builder {
        private static final long DEFAULT_HEARTBEAT_MS = 500;
        private static final long DEFAULT_CONTROL_LEASE_MS = 3_000;
        private static final long DEFAULT_TASK_LEASE_MS = 30_000;
        private static final long DEFAULT_CALL_TIMEOUT_MS = 1_000;
        private static final long DEFAULT_CLOCK_MARGIN_MS = 250;

        private final HostId host;
        private final DomainId domain;
        private final long incarnation;
        private long heartbeatMs = DEFAULT_HEARTBEAT_MS;
        private long controlLeaseMs = DEFAULT_CONTROL_LEASE_MS;
        private long taskLeaseMs = DEFAULT_TASK_LEASE_MS;
        private long callTimeoutMs = DEFAULT_CALL_TIMEOUT_MS;
        private long clockMarginMs = DEFAULT_CLOCK_MARGIN_MS;
        private long seed = 1;

        private Builder(HostId host, DomainId domain, long incarnation) {
            this.host = Objects.requireNonNull(host, "host");
            this.domain = Objects.requireNonNull(domain, "domain");
            this.incarnation = incarnation;
        }

        /**
         * Builds the configuration.
         *
         * @return the configuration
         */
        public HostConfig build() {
            return new HostConfig(this);
        }

        /**
         * Sets the timeout of calls to the table service and to workers.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder callTimeoutMs(long value) {
            callTimeoutMs = value;
            return this;
        }

        /**
         * Sets the allowance for clocks that run at different rates.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder clockMarginMs(long value) {
            clockMarginMs = value;
            return this;
        }

        /**
         * Sets the validity of a control lease at a worker.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder controlLeaseMs(long value) {
            controlLeaseMs = value;
            return this;
        }

        /**
         * Sets the interval of heartbeats and renewals.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder heartbeatMs(long value) {
            heartbeatMs = value;
            return this;
        }

        /**
         * Sets the seed of random choices.
         *
         * @param value the seed
         * @return this builder
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Sets the length of a task lease.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder taskLeaseMs(long value) {
            taskLeaseMs = value;
            return this;
        }
    }
}
