package org.acaciafold.wire;

import org.acaciafold.core.model.HostId;

/** Handles messages that peers send to this entry host. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles one message.
     *
     * @param from the peer, which has proven the cluster secret on its connection
     * @param message the encoded message
     */
    void receive(HostId from, byte[] message);
}
