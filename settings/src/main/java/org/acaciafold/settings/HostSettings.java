package org.acaciafold.settings;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.HostId;

/**
 * The settings that an entry host reads from its settings file when it starts.
 *
 * @param host the entry host, {@code id} in {@code [host]}
 * @param domain its failure domain, {@code failure-domain} in {@code [host]}
 * @param addresses the listen addresses and the platform's address
 * @param clusterSecret the secret that peers prove to each other that they hold, {@code secret} in {@code [cluster]}
 * @param operatorKey the operators' key, {@code operator-key} in {@code [cluster]}, as {@code id:salt:hash}
 * @param timings the durations of heartbeats, leases and timeouts
 * @param observability the settings of logs and traces
 * @param maxBodyBytes the largest request body in bytes, {@code max-body} in {@code [limits]}
 */
public record HostSettings(
        HostId host,
        DomainId domain,
        HostAddresses addresses,
        String clusterSecret,
        KeyHash operatorKey,
        HostTimings timings,
        ObservabilitySettings observability,
        long maxBodyBytes) {}
