package org.acaciafold.daemon.request;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import reactor.core.publisher.Flux;

/** The body of a live request: buffered, so that a retry can send it again, or streamed once. */
final class RequestBody {
    private final Optional<byte[]> whole;
    private final Flux<byte[]> stream;
    private final AtomicBoolean started = new AtomicBoolean();

    private RequestBody(Optional<byte[]> whole, Flux<byte[]> stream) {
        this.whole = whole;
        this.stream = stream;
    }

    static RequestBody streamed(Flux<byte[]> stream) {
        return new RequestBody(Optional.empty(), stream);
    }

    static RequestBody whole(byte[] bytes) {
        return new RequestBody(Optional.of(bytes), bytes.length == 0 ? Flux.empty() : Flux.just(bytes));
    }

    Flux<byte[]> content() {
        return stream.doOnSubscribe(subscription -> started.set(true));
    }

    /** Returns whether another attempt can send the complete body. */
    boolean replayable() {
        return whole.isPresent() || !started.get();
    }

    Optional<byte[]> whole() {
        return whole;
    }
}
