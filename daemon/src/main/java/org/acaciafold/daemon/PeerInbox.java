package org.acaciafold.daemon;

import org.acaciafold.coordination.Event;
import org.acaciafold.coordination.PeerMessage;
import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Step;
import org.acaciafold.wire.PeerHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decodes messages from peers for the state machine; drops and counts those that cannot be decoded. */
final class PeerInbox implements PeerHandler {
    private static final Logger LOG = LoggerFactory.getLogger(PeerInbox.class);

    private final CoreLoop loop;
    private final HostMetrics metrics;

    private PeerInbox(CoreLoop loop, HostMetrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
    }

    static PeerInbox of(CoreLoop loop, HostMetrics metrics) {
        return new PeerInbox(loop, metrics);
    }

    @Override
    public void receive(HostId from, byte[] bytes) {
        try {
            PeerMessage message = Codec.messagePack().decode(bytes, PeerMessage.class, Step.PEER, from.value());
            metrics.peerMessageReceived(message.getClass().getSimpleName());
            loop.offer(new Event.PeerReceived(from, message));
        } catch (AcaciafoldException e) {
            metrics.peerMessageReceived("malformed");
            LOG.warn("malformed peer message dropped: {}", e.getMessage());
        }
    }
}
