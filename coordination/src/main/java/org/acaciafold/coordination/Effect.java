package org.acaciafold.coordination;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.WorkerCommand;

/** What the state machine wants done. */
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
     * @param address where the worker takes commands
     * @param command the command
     */
    record CallWorker(long call, WorkerId worker, String address, WorkerCommand command) implements Effect {}

    /**
     * Sends a message to a peer; it may be lost.
     *
     * @param to the peer
     * @param address where the peer takes messages
     * @param message the message
     */
    record SendPeer(HostId to, String address, PeerMessage message) implements Effect {}

    /**
     * Answers a call.
     *
     * @param call the number of the call
     * @param reply the answer
     */
    record AnswerClient(long call, ClientReply reply) implements Effect {}

    /**
     * Tells that everything is handed over and the process may end.
     */
    record Stopped() implements Effect {}
}
