package org.acaciafold.wire;

import org.acaciafold.core.model.HostId;

/**
 * Who an entry host is to its peers.
 *
 * @param host the entry host
 * @param secret the cluster secret, which is proven and never sent
 */
public record WireIdentity(HostId host, String secret) {
    @Override
    public String toString() {
        return "WireIdentity[" + host + "]";
    }
}
