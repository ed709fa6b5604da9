package org.acaciafold.standin;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Clock;
import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.HostList;
import org.acaciafold.core.port.HostRole;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** HTTP server of an emulated platform: table service, object store, host list and fault injection. */
public final class PlatformServer {
    private static final String PEER = "platform";
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final long DEFAULT_LAG_MS = 200;
    private static final int HOST_FIELDS = 5;

    private final TableStore table = TableStore.empty();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final HostRegistry hosts;
    private volatile PlatformFault fault = new PlatformFault(PlatformFault.Mode.UP, 0);

    private PlatformServer(HostRegistry hosts) {
        this.hosts = hosts;
    }

    /**
     * Starts an emulated platform.
     *
     * @param settings the section {@code [platform]}: {@code listen} and {@code host-list-lag-ms}
     * @param hostSettings the section {@code [hosts]}: for each host identifier its role, failure domain, rack, address
     *     and caller address, separated by blanks
     * @return the running server
     * @throws AcaciafoldException when the settings are invalid or the port is in use
     */
    static DisposableServer start(StandinSettings settings, StandinSettings hostSettings) throws AcaciafoldException {
        HostRegistry hosts = HostRegistry.of(Clock.system(), settings.number("host-list-lag-ms", DEFAULT_LAG_MS));
        for (Map.Entry<String, String> host : hostSettings.values().entrySet()) {
            hosts.putAtStart(hostOf(host.getKey(), host.getValue()));
        }
        PlatformServer platform = new PlatformServer(hosts);
        return Listener.bind(HttpServer.create().route(platform::routes), settings.requiredText("listen"));
    }

    private void routes(HttpServerRoutes routes) {
        routes.post(
                        "/v1/table",
                        (request, response) -> body(request)
                                .flatMap(bytes -> respondJson(response, () -> call(bytes), TableReply.class)))
                .get("/v1/hosts", (request, response) -> respondJson(response, hosts::list, HostList.class))
                .put("/v1/objects/{key}", this::putObject)
                .get("/v1/objects/{key}", this::getObject)
                .post(
                        "/admin/fault",
                        (request, response) -> admin(request, response, PlatformFault.class, value -> fault = value))
                .post("/admin/hosts", (request, response) -> admin(request, response, HostEntry.class, hosts::put))
                .post("/admin/hosts/{id}/leave", (request, response) -> {
                    hosts.markLeaving(request.param("id"));
                    return response.status(204).send();
                })
                .delete("/admin/hosts/{id}", (request, response) -> {
                    hosts.remove(request.param("id"));
                    return response.status(204).send();
                });
    }

    private TableReply call(byte[] bytes) {
        try {
            return table.call(Codec.json().decode(bytes, TableRequest.class, Step.TABLE, PEER));
        } catch (AcaciafoldException e) {
            return new TableReply.Unavailable(String.valueOf(e.getMessage()));
        }
    }

    private Mono<Void> putObject(HttpServerRequest request, HttpServerResponse response) {
        String key = URLDecoder.decode(request.param("key"), StandardCharsets.UTF_8);
        return body(request)
                .flatMap(bytes -> respond(
                        response,
                        () -> objects.put(key, bytes) == null,
                        ignored -> response.status(204).send()));
    }

    private Mono<Void> getObject(HttpServerRequest request, HttpServerResponse response) {
        String key = URLDecoder.decode(request.param("key"), StandardCharsets.UTF_8);
        return respond(
                response,
                () -> objects.getOrDefault(key, new byte[0]),
                value -> objects.containsKey(key)
                        ? response.sendByteArray(Mono.just(value)).then()
                        : response.status(404).send());
    }

    private <T> Mono<Void> respondJson(HttpServerResponse response, Supplier<T> action, Class<T> type) {
        return respond(
                response,
                action,
                value -> response.header("content-type", "application/json")
                        .sendByteArray(Mono.just(Codec.json().encode(value, type)))
                        .then());
    }

    private <T> Mono<Void> respond(HttpServerResponse response, Supplier<T> action, Function<T, Mono<Void>> send) {
        PlatformFault activeFault = fault;
        Mono<Void> noAnswer =
                Mono.defer(() -> response.status(STATUS_UNAVAILABLE).send());
        return switch (activeFault.mode()) {
            case UP -> send.apply(action.get());
            case DOWN -> noAnswer;
            case SLOW ->
                Mono.delay(Duration.ofMillis(activeFault.slowMs())).flatMap(ignored -> send.apply(action.get()));
            case LOSE_ANSWERS -> Mono.fromSupplier(action).then(noAnswer);
        };
    }

    private static <T> Mono<Void> admin(
            HttpServerRequest request, HttpServerResponse response, Class<T> type, Consumer<T> action) {
        return body(request).flatMap(bytes -> {
            try {
                action.accept(Codec.json().decode(bytes, type, Step.SETTINGS, PEER));
                return response.status(204).send();
            } catch (AcaciafoldException e) {
                return response.status(STATUS_BAD_REQUEST)
                        .sendString(Mono.just(String.valueOf(e.getMessage())))
                        .then();
            }
        });
    }

    private static Mono<byte[]> body(HttpServerRequest request) {
        return request.receive().aggregate().asByteArray().defaultIfEmpty(new byte[0]);
    }

    private static HostEntry hostOf(String id, String text) throws AcaciafoldException {
        String[] fields = text.trim().split("\\s+");
        if (fields.length != HOST_FIELDS) {
            String message = id + " in [hosts] must be: entry|worker DOMAIN RACK ADDRESS CALLER-ADDRESS";
            throw new AcaciafoldException(Failure.notRun(Step.SETTINGS, PEER, "bad-settings", message));
        }
        HostRole role = HostRole.valueOf(fields[0].toUpperCase(Locale.ROOT));
        return new HostEntry(id, role, DomainId.of(fields[1]), fields[2], fields[3], fields[4], false);
    }
}
