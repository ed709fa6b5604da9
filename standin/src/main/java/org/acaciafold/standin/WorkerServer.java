package org.acaciafold.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Clock;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** HTTP server of an emulated worker: commands, live requests, the journal and fault injection. */
public final class WorkerServer {
    private static final Duration ADVANCE_INTERVAL = Duration.ofMillis(5);
    private static final int STATUS_BAD_REQUEST = 400;

    private final String id;
    private final WorkerAgent agent;
    private final Clock clock;
    private final int maxConnections;
    private final AtomicInteger openConnections = new AtomicInteger();
    private final Map<String, Integer> executions = new ConcurrentHashMap<>();
    private volatile WorkerFault.Mode fault = WorkerFault.Mode.NONE;

    private WorkerServer(String id, WorkerAgent agent, Clock clock, int connections) {
        this.id = id;
        this.agent = agent;
        this.clock = clock;
        this.maxConnections = connections;
    }

    /**
     * Starts an emulated worker.
     *
     * @param settings the section {@code [worker]}: {@code id}, {@code listen}, {@code listen-requests}, {@code rack},
     *     {@code cpu-millis}, {@code memory-mib}, {@code accelerators}, {@code slots} and {@code connections}
     * @return the running servers: first for commands, then for live requests
     * @throws AcaciafoldException when the settings are invalid or a port is in use
     */
    static List<DisposableServer> start(StandinSettings settings) throws AcaciafoldException {
        String id = settings.requiredText("id");
        Resources capacity = Resources.of(
                settings.number("cpu-millis", 32_000),
                settings.number("memory-mib", 131_072),
                settings.number("accelerators", 0));
        int connections = (int) settings.number("connections", 64);
        WorkerAgent agent = WorkerAgent.of(
                WorkerId.of(id),
                capacity,
                settings.optionalText("rack").orElse("rack-1"),
                (int) settings.number("slots", 8),
                connections,
                System.currentTimeMillis());
        WorkerServer worker = new WorkerServer(id, agent, Clock.system(), connections);
        List<DisposableServer> servers = new ArrayList<>();
        servers.add(Listener.bind(worker.commandServer(), settings.requiredText("listen")));
        servers.add(Listener.bind(worker.requestServer(), settings.requiredText("listen-requests")));
        Disposable timer = Flux.interval(ADVANCE_INTERVAL).onBackpressureDrop().subscribe(tick -> worker.advance());
        servers.getFirst().onDispose(timer);
        return servers;
    }

    private void advance() {
        if (fault != WorkerFault.Mode.FREEZE) {
            synchronized (agent) {
                agent.advance(clock.nowMs());
            }
        }
    }

    private HttpServer commandServer() {
        return HttpServer.create()
                .route(routes -> routes.post("/v1/command", this::command)
                        .get("/admin/journal", (request, response) -> json(response, journal(), Journal.class))
                        .post("/admin/fault", this::setFault));
    }

    private HttpServer requestServer() {
        LiveServer live = LiveServer.of(id, agent, clock, executions);
        return HttpServer.create().doOnConnection(this::countConnection).handle((request, response) -> {
            if (fault == WorkerFault.Mode.FREEZE) {
                return Mono.never();
            }
            return openConnections.get() > maxConnections
                    ? live.refuseConnection(request, response)
                    : live.serve(request, response);
        });
    }

    private void countConnection(Connection connection) {
        int openNow = openConnections.incrementAndGet();
        synchronized (agent) {
            agent.recordOpenConnections(openNow);
        }
        connection.onDispose(openConnections::decrementAndGet);
    }

    private Mono<Void> command(HttpServerRequest request, HttpServerResponse response) {
        return request.receive().aggregate().asByteArray().flatMap(bytes -> {
            if (fault == WorkerFault.Mode.FREEZE) {
                return Mono.never();
            }
            try {
                WorkerCommand command = Codec.json().decode(bytes, WorkerCommand.class, Step.WORKER, id);
                synchronized (agent) {
                    return json(response, agent.command(command, clock.nowMs()), WorkerReply.class);
                }
            } catch (AcaciafoldException e) {
                return malformed(response, e);
            }
        });
    }

    private Mono<Void> setFault(HttpServerRequest request, HttpServerResponse response) {
        return request.receive().aggregate().asByteArray().flatMap(bytes -> {
            try {
                fault = Codec.json()
                        .decode(bytes, WorkerFault.class, Step.WORKER, id)
                        .mode();
            } catch (AcaciafoldException e) {
                return malformed(response, e);
            }
            synchronized (agent) {
                agent.setFailAllTasks(fault == WorkerFault.Mode.FAIL_EVERYTHING);
                agent.setLeaving(fault == WorkerFault.Mode.LEAVE);
            }
            return response.status(204).send();
        });
    }

    private Journal journal() {
        synchronized (agent) {
            long nowMs = clock.nowMs();
            int slotsInUse = agent.view(nowMs).slotsInUse();
            return new Journal(nowMs, agent.peak(), slotsInUse, Map.copyOf(executions), agent.journal());
        }
    }

    private static <T> Mono<Void> json(HttpServerResponse response, T value, Class<T> type) {
        return response.header("content-type", "application/json")
                .sendByteArray(Mono.just(Codec.json().encode(value, type)))
                .then();
    }

    private static Mono<Void> malformed(HttpServerResponse response, AcaciafoldException error) {
        return response.status(STATUS_BAD_REQUEST)
                .sendString(Mono.just(String.valueOf(error.getMessage())))
                .then();
    }
}
