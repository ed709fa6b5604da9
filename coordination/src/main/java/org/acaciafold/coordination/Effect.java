package org.acaciafold.coordination;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.WorkerCommand;

/** An action that the state machine requests from its runtime. */
public sealed interface Effect {
    /**
     * Sends a request to the table service; answered by {@link Event.TableAnswered}.
     *
     * @param call the number of the call
     * @param request the request
     */
    record CallTable(long call, TableRequest request) implements Effect {}

    /**
     * Sends a command to a worker; answered by {@link Event.WorkerAnswered}.
     *
     * @param call the number of the call
     * @param worker the worker
     * @param address the address at which the worker accepts commands
     * @param command the command
     */
    record CallWorker(long call, WorkerId worker, String address, WorkerCommand command) implements Effect {}

    /**
     * Sends a message to a peer; it may be lost.
     *
     * @param to the peer
     * @param address the address at which the peer accepts messages
     * @param message the message
     */
    record SendPeer(HostId to, String address, PeerMessage message) implements Effect {}

    /**
     * Sends the reply to a call of a caller or operator.
     *
     * @param call the number of the call
     * @param reply the reply
     */
    record AnswerClient(long call, ClientReply reply) implements Effect {}

    /**
     * Reports that everything is handed over and the process may exit.
     */
    record Stopped() implements Effect {}
}
