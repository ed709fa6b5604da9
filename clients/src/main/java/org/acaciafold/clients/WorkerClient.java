package org.acaciafold.clients;

import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;
import reactor.core.publisher.Mono;

/** Sends commands to workers. */
@FunctionalInterface
public interface WorkerClient {
    /**
     * Sends a command.
     *
     * @param address the address for commands of the worker, an IP address and a port
     * @param command the command
     * @return the reply, never an error signal; {@link WorkerReply.Lost} if an error occurred and the command may have
     *     been executed
     */
    Mono<WorkerReply> command(String address, WorkerCommand command);
}
