package org.acaciafold.core.port;

import org.acaciafold.core.model.DomainId;

/**
 * A machine in the host list of the platform, which lags.
 *
 * @param id the identifier of the entry host or worker
 * @param role what it does
 * @param domain its failure domain
 * @param rack its rack
 * @param address where peers or commands reach it, an IP number and a port
 * @param callerAddress where callers or live requests reach it, an IP number and a port
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
