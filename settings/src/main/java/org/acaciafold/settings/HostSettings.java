package org.acaciafold.settings;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.HostId;

/**
 * What an entry host reads from its settings file before it knows anything else.
 *
 * @param host the entry host, {@code id} in {@code [host]}
 * @param domain its failure domain, {@code failure-domain} in {@code [host]}
 * @param addresses the addresses
 * @param clusterSecret the secret that peers prove, {@code secret} in {@code [cluster]}
 * @param operatorKey the operators' key, {@code operator-key} in {@code [cluster]}, as {@code id:salt:hash}
 * @param timings the durations
 * @param observation logs and traces
 * @param maxBodyBytes the largest request body in bytes, {@code max-body} in {@code [limits]}
 */
public record HostSettings(
        HostId host,
        DomainId domain,
        HostAddresses addresses,
        String clusterSecret,
        KeyHash operatorKey,
        HostTimings timings,
        ObservabilitySettings observation,
        long maxBodyBytes) {}
