package org.acaciafold.coordination;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.port.HostList;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.WorkerReply;

/** What happens to the state machine between two ticks. */
public sealed interface Event {
    /**
     * The table service answered.
     *
     * @param call the number of the call
     * @param reply the answer
     */
    record TableAnswered(long call, TableReply reply) implements Event {}

    /**
     * A worker answered.
     *
     * @param call the number of the call
     * @param reply the answer
     */
    record WorkerAnswered(long call, WorkerReply reply) implements Event {}

    /**
     * A peer sent a message.
     *
     * @param from the peer, proven by its connection
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
     * A caller or operator called.
     *
     * @param call the number of the call
     * @param body the call
     */
    record ClientCalled(long call, ClientCall body) implements Event {}

    /**
     * The process was asked to stop; slices are handed over.
     */
    record StopRequested() implements Event {}
}
