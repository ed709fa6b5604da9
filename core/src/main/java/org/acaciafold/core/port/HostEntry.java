package org.acaciafold.core.port;

import org.acaciafold.core.model.DomainId;

/**
 * A machine in the host list of the platform. The list lags behind the actual state.
 *
 * @param id the identifier of the entry host or worker
 * @param role whether it is an entry host or a worker
 * @param domain its failure domain
 * @param rack its rack
 * @param address the address for peers or commands, an IP address and a port
 * @param callerAddress the address for callers or live requests, an IP address and a port
 * @param leaving whether it is about to leave
 */
public record HostEntry(
        String id,
        HostRole role,
        DomainId domain,
        String rack,
        String address,
        String callerAddress,
        boolean leaving) {}
