package org.acaciafold.daemon;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.buffer.Unpooled;
import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Outcome;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerResponse;

/** Writes HTTP responses: JSON, text and typed errors. */
public final class HttpAnswers {
    /** The header that carries whether a request ran: {@code ran}, {@code not-run} or {@code unknown}. */
    public static final String OUTCOME_HEADER = "Acaciafold-Outcome";

    private static final long DEFAULT_RETRY_AFTER_MS = 1_000;
    private static final long MS_PER_SECOND = 1_000;

    private HttpAnswers() {}

    /**
     * Writes a typed error with its status, outcome and retry time; a temporary error without one gets a default.
     *
     * @param response the response, to which nothing has been written yet
     * @param failure the typed error
     * @return completes when it is written
     */
    public static Mono<Void> failure(HttpServerResponse response, Failure failure) {
        int status = FailureStatus.of(failure);
        boolean retryTimeMissing =
                FailureStatus.temporary(status) && failure.retryAfterMs().isEmpty();
        Failure reported = retryTimeMissing ? failure.withRetryAfterMs(DEFAULT_RETRY_AFTER_MS) : failure;
        response.header(OUTCOME_HEADER, outcome(reported.outcome()));
        reported.retryAfterMs()
                .ifPresent(ms -> response.header("Retry-After", Long.toString(Math.ceilDiv(ms, MS_PER_SECOND))));
        return json(response, status, reported, Failure.class);
    }

    /**
     * Returns an outcome as it is written in headers.
     *
     * @param outcome the outcome
     * @return {@code ran}, {@code not-run} or {@code unknown}
     */
    public static String outcome(Outcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Writes a response whose body is a value as JSON. */
    static <T> Mono<Void> json(HttpServerResponse response, int status, T value, Class<T> type) {
        return bytes(response, status, "application/json", Codec.json().encode(value, type));
    }

    /** Writes a response whose body is text. */
    static Mono<Void> text(HttpServerResponse response, int status, String contentType, String text) {
        return bytes(response, status, contentType, text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Writes an answer on the event loop of its connection.
     *
     * <p>When another thread writes the answer, Reactor Netty 1.3.7 dispatches the next request before it has recorded
     * the end of that answer, and may then leave the request after the next one unread.
     *
     * @param response the response
     * @param answer writes the answer when subscribed to
     * @return completes when the answer is written
     */
    public static Mono<Void> onEventLoop(HttpServerResponse response, Mono<Void> answer) {
        AtomicReference<Executor> loop = new AtomicReference<>();
        response.withConnection(connection -> loop.set(connection.channel().eventLoop()));
        return answer.subscribeOn(Schedulers.fromExecutor(loop.get()));
    }

    private static Mono<Void> bytes(HttpServerResponse response, int status, String contentType, byte[] body) {
        Mono<Void> answer = response.status(status)
                .header("Content-Type", contentType)
                .header("Content-Length", Integer.toString(body.length))
                .sendObject(Unpooled.wrappedBuffer(body))
                .then();
        return onEventLoop(response, answer);
    }
}
