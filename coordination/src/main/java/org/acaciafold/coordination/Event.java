package org.acaciafold.coordination;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.port.HostList;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.WorkerReply;

/** An input of the state machine, applied at the start of the next tick. */
public sealed interface Event {
    /**
     * The table service replied.
     *
     * @param call the number of the call
     * @param reply the reply
     */
    record TableAnswered(long call, TableReply reply) implements Event {}

    /**
     * A worker replied.
     *
     * @param call the number of the call
     * @param reply the reply
     */
    record WorkerAnswered(long call, WorkerReply reply) implements Event {}

    /**
     * A peer sent a message.
     *
     * @param from the peer, authenticated by its connection
     * @param message the message
     */
    record PeerReceived(HostId from, PeerMessage message) implements Event {}

    /**
     * The host list was read.
     *
     * @param hosts the host list
     */
    record HostsListed(HostList hosts) implements Event {}

    /**
     * A caller or operator made a call.
     *
     * @param call the number of the call
     * @param body the call
     */
    record ClientCalled(long call, ClientCall body) implements Event {}

    /**
     * A stop of the process was requested; slices are handed over.
     */
    record StopRequested() implements Event {}
}
