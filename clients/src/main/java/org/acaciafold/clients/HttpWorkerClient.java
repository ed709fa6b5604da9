package org.acaciafold.clients;

import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Outcome;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;
import reactor.core.publisher.Mono;

/**
 * Sends commands to workers over HTTP with JSON.
 *
 * <p>The reply is {@link WorkerReply.Refused} if no connection could be opened, and {@link WorkerReply.Lost} after any
 * other error, since the worker may have executed the command.
 */
public final class HttpWorkerClient implements WorkerClient {
    private static final String PATH = "/v1/command";

    private final JsonHttp http;

    private HttpWorkerClient(JsonHttp http) {
        this.http = http;
    }

    /**
     * Creates a client.
     *
     * @param timeoutMs the timeout of a command in milliseconds
     * @return the client
     */
    public static HttpWorkerClient of(long timeoutMs) {
        return new HttpWorkerClient(JsonHttp.of("workers", timeoutMs, Step.WORKER));
    }

    @Override
    public Mono<WorkerReply> command(String address, WorkerCommand command) {
        byte[] body = Codec.json().encode(command, WorkerCommand.class);
        return http.post(address, PATH, body)
                .map(bytes -> decode(address, bytes))
                .onErrorResume(error -> Mono.just(failed(error)));
    }

    private static WorkerReply decode(String address, byte[] bytes) {
        try {
            return Codec.json().decode(bytes, WorkerReply.class, Step.WORKER, address);
        } catch (AcaciafoldException e) {
            return new WorkerReply.Lost(String.valueOf(e.getMessage()));
        }
    }

    private static WorkerReply failed(Throwable error) {
        String message = String.valueOf(error.getMessage());
        boolean neverSent =
                error instanceof AcaciafoldException typed && typed.failure().outcome() == Outcome.NOT_RUN;
        return neverSent ? new WorkerReply.Refused("unreachable", message) : new WorkerReply.Lost(message);
    }
}
