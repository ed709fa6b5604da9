package org.acaciafold.wire;

import org.acaciafold.core.model.HostId;

/** Takes the messages that peers send to this entry host. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Takes one message.
     *
     * @param from the peer, proven by its connection
     * @param message the encoded message
     */
    void receive(HostId from, byte[] message);
}
