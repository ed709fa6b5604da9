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
     * @param address where the worker takes commands, an IP number and a port
     * @param command the command
     * @return the reply, never an error signal; {@link WorkerReply.Lost} when the command may have been carried out
     */
    Mono<WorkerReply> command(String address, WorkerCommand command);
}
