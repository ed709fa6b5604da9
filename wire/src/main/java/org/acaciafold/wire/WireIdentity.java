package org.acaciafold.wire;

import org.acaciafold.core.model.HostId;

/**
 * The identity with which an entry host authenticates to its peers.
 *
 * @param host the identifier of the entry host
 * @param secret the cluster secret, which is proven and never sent
 */
public record WireIdentity(HostId host, String secret) {
    @Override
    public String toString() {
        return "WireIdentity[" + host + "]";
    }
}
