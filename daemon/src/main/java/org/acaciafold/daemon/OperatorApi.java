package org.acaciafold.daemon;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.acaciafold.coordination.ClientCall;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.coordination.HostStatus;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.acaciafold.settings.KeyHash;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** The HTTP interface for operators: settings, keys, failure domains, status, health and metrics. */
final class OperatorApi {
    private static final String API = "operators";
    private static final String OPERATOR = "operator";
    private static final String SETTINGS = "/v1/settings/";
    private static final Pattern VERSION = Pattern.compile("\"?(\\d{1,18})\"?");
    private static final Pattern EDIT = Pattern.compile("[A-Za-z0-9_-]{1,64}");
    private static final Pattern SUBTREE = Pattern.compile("open|(workspace|domain)/[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final CoreCalls core;
    private final SettingsEdits edits;
    private final KeyHash operatorKey;
    private final HostMetrics metrics;
    private final BooleanSupplier ready;
    private final long maxBodyBytes;

    OperatorApi(CoreCalls core, KeyHash operatorKey, HostMetrics metrics, BooleanSupplier ready, long maxBodyBytes) {
        this.core = core;
        this.edits = SettingsEdits.of(core);
        this.operatorKey = operatorKey;
        this.metrics = metrics;
        this.ready = ready;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Registers the routes of this interface.
     *
     * @param routes the routes to add to
     */
    void routes(HttpServerRoutes routes) {
        routes.get("/healthz", (request, response) -> HttpAnswers.text(response, OK, "text/plain", "ok\n"));
        routes.get("/readyz", (request, response) -> readiness(response));
        routes.get(
                "/metrics",
                (request, response) -> HttpAnswers.text(response, OK, "text/plain; version=0.0.4", metrics.scrape()));
        routes.get("/v1/settings", authenticated((request, response) -> query(response, "")));
        routes.get(SETTINGS + "{kind}/{name}", authenticated((request, response) -> query(response, subtree(request))));
        routes.get(SETTINGS + "open", authenticated((request, response) -> query(response, subtree(request))));
        routes.put(SETTINGS + "{kind}/{name}", authenticated(this::replace));
        routes.put(SETTINGS + "open", authenticated(this::replace));
        routes.delete(SETTINGS + "{kind}/{name}", authenticated(this::remove));
        routes.delete(SETTINGS + "open", authenticated(this::remove));
        routes.get("/v1/edits/{edit}", authenticated(this::edit));
        routes.post("/v1/workspaces/{workspace}/keys", authenticated(this::createKey));
        routes.delete("/v1/workspaces/{workspace}/keys/{id}", authenticated(this::withdrawKey));
        routes.post("/v1/domains/{domain}/out", authenticated((request, response) -> takeOut(request, response, true)));
        routes.post("/v1/domains/{domain}/in", authenticated((request, response) -> takeOut(request, response, false)));
        routes.get("/v1/status", authenticated(this::status));
        routes.route(request -> true, HttpListener.withErrorHandling(API, metrics, CallerApi::unknownRoute));
    }

    private Mono<Void> createKey(HttpServerRequest request, HttpServerResponse response) throws AcaciafoldException {
        String subtree = checkedSubtree("workspace/" + request.param("workspace"));
        return edits.createKey(subtree)
                .flatMap(created -> HttpAnswers.json(response, CREATED, created, SettingsEdits.CreatedKey.class));
    }

    private Mono<Void> edit(HttpServerRequest request, HttpServerResponse response) {
        return core.call(new ClientCall.QueryEdit(request.param("edit"))).flatMap(reply -> answer(response, OK, reply));
    }

    private Mono<Void> query(HttpServerResponse response, String subtree) {
        return core.call(new ClientCall.QuerySettings(subtree)).flatMap(reply -> {
            if (reply instanceof ClientReply.SettingsFound found) {
                response.header("ETag", "\"" + found.version() + "\"");
            }
            return answer(response, OK, reply);
        });
    }

    private Mono<Void> readiness(HttpServerResponse response) {
        boolean isReady = ready.getAsBoolean();
        return HttpAnswers.text(
                response, isReady ? OK : UNAVAILABLE, "text/plain", isReady ? "ready\n" : "not ready\n");
    }

    private Mono<Void> remove(HttpServerRequest request, HttpServerResponse response) throws AcaciafoldException {
        return change(request, response, Optional.empty());
    }

    private Mono<Void> replace(HttpServerRequest request, HttpServerResponse response) throws AcaciafoldException {
        ClientCall.EditSettings withoutText = editCall(request, Optional.empty());
        return RequestBodies.read(request, "text/plain", maxBodyBytes)
                .map(body -> new String(body, StandardCharsets.UTF_8))
                .flatMap(text -> core.call(new ClientCall.EditSettings(
                        withoutText.editId(), withoutText.subtree(), withoutText.expected(), Optional.of(text))))
                .flatMap(reply -> answer(response, ACCEPTED, reply));
    }

    private Mono<Void> change(HttpServerRequest request, HttpServerResponse response, Optional<String> text)
            throws AcaciafoldException {
        return core.call(editCall(request, text)).flatMap(reply -> answer(response, ACCEPTED, reply));
    }

    private Mono<Void> status(HttpServerRequest request, HttpServerResponse response) {
        return core.call(new ClientCall.QueryStatus()).flatMap(reply -> switch (reply) {
            case ClientReply.StatusFound found -> HttpAnswers.json(response, OK, found.status(), HostStatus.class);
            default -> answer(response, OK, reply);
        });
    }

    private Mono<Void> takeOut(HttpServerRequest request, HttpServerResponse response, boolean out)
            throws AcaciafoldException {
        String subtree = checkedSubtree("domain/" + request.param("domain"));
        return edits.takeOut(subtree, out).flatMap(reply -> answer(response, ACCEPTED, reply));
    }

    private Mono<Void> withdrawKey(HttpServerRequest request, HttpServerResponse response) throws AcaciafoldException {
        String subtree = checkedSubtree("workspace/" + request.param("workspace"));
        return edits.withdrawKey(subtree, request.param("id")).flatMap(reply -> answer(response, ACCEPTED, reply));
    }

    private BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> authenticated(HttpHandler handler) {
        return HttpListener.withErrorHandling(API, metrics, (request, response) -> {
            AccessKeys.require(request.requestHeaders().get("Authorization"), operatorKey);
            return handler.handle(request, response);
        });
    }

    private static Mono<Void> answer(HttpServerResponse response, int status, ClientReply reply) {
        return switch (reply) {
            case ClientReply.Failed failed -> Mono.error(new AcaciafoldException(failed.failure()));
            case ClientReply.EditConflict conflict -> HttpAnswers.json(response, CONFLICT, conflict, ClientReply.class);
            default -> HttpAnswers.json(response, status, reply, ClientReply.class);
        };
    }

    private static String checkedSubtree(String subtree) throws AcaciafoldException {
        if (!SUBTREE.matcher(subtree).matches()) {
            throw malformed("not a subtree: " + subtree + "; expected open, workspace/NAME or domain/NAME");
        }
        return subtree;
    }

    private static ClientCall.EditSettings editCall(HttpServerRequest request, Optional<String> text)
            throws AcaciafoldException {
        String edit = request.requestHeaders()
                .get("Acaciafold-Edit", UUID.randomUUID().toString());
        if (!EDIT.matcher(edit).matches()) {
            throw malformed("Acaciafold-Edit must match " + EDIT);
        }
        Matcher version = VERSION.matcher(request.requestHeaders().get("If-Match", "0"));
        if (!version.matches()) {
            throw malformed("If-Match must be the version of the subtree, 0 for a new one");
        }
        return new ClientCall.EditSettings(edit, subtree(request), Long.parseLong(version.group(1)), text);
    }

    private static AcaciafoldException malformed(String message) {
        return new AcaciafoldException(Failure.notRun(Step.SETTINGS, OPERATOR, "malformed", message));
    }

    private static String subtree(HttpServerRequest request) throws AcaciafoldException {
        String path = request.fullPath();
        return checkedSubtree(path.substring(path.indexOf(SETTINGS) + SETTINGS.length()));
    }
}
