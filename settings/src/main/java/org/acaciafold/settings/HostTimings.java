package org.acaciafold.settings;

/**
 * The durations of an entry host, section {@code [timing]}.
 *
 * @param heartbeatMs the interval between heartbeats, {@code heartbeat}
 * @param controlLeaseMs the validity of a control lease, {@code control-lease}
 * @param taskLeaseMs the length of a task lease, {@code task-lease}
 * @param callTimeoutMs the timeout of calls to the platform and to workers, {@code call-timeout}
 * @param clockMarginMs the allowance for clock drift between hosts, {@code clock-margin}
 */
public record HostTimings(
        long heartbeatMs, long controlLeaseMs, long taskLeaseMs, long callTimeoutMs, long clockMarginMs) {}
