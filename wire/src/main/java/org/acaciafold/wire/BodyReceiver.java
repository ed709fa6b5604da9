package org.acaciafold.wire;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** Receives one body, allows the other side to send as it is consumed, and checks its length. */
final class BodyReceiver {
    /** How many bytes of a body may be under way or unconsumed. */
    static final int WINDOW_BYTES = 256 * 1024;

    private final Link link;
    private final long stream;
    private final Runnable whenCancelled;
    private final Sinks.Many<byte[]> sink = Sinks.many().unicast().onBackpressureBuffer();
    private long received;
    private long allowed = WINDOW_BYTES;
    private int consumed;

    private BodyReceiver(Link link, long stream, Runnable whenCancelled) {
        this.link = link;
        this.stream = stream;
        this.whenCancelled = whenCancelled;
    }

    /**
     * Creates the receiver of a body.
     *
     * @param link the connection
     * @param stream the number of the request
     * @param whenCancelled runs on the event loop when the consumer goes away
     * @return the receiver
     */
    static BodyReceiver of(Link link, long stream, Runnable whenCancelled) {
        return new BodyReceiver(link, stream, whenCancelled);
    }

    /** Returns the body, for one consumer. */
    Flux<byte[]> body() {
        return sink.asFlux()
                .doOnNext(bytes -> link.execute(() -> consumed(bytes.length)))
                .doOnCancel(() -> link.execute(whenCancelled));
    }

    /**
     * Takes a part.
     *
     * @param bytes the part
     * @throws AcaciafoldException when the other side sent more than it was allowed
     */
    void chunk(byte[] bytes) throws AcaciafoldException {
        received += bytes.length;
        if (received > allowed) {
            throw new AcaciafoldException(link.failure("window-exceeded", "more of a body came than was allowed"));
        }
        sink.tryEmitNext(bytes);
    }

    /** Ends the body with an error. */
    void cut(Failure failure) {
        sink.tryEmitError(new AcaciafoldException(failure));
    }

    /** Ends the body, with an error when it does not have its length. */
    void end(long length) {
        if (length == received) {
            sink.tryEmitComplete();
        } else {
            cut(link.failure("body-cut", "received " + received + " of " + length + " bytes"));
        }
    }

    private void consumed(int bytes) {
        consumed += bytes;
        if (consumed >= WINDOW_BYTES / 2) {
            link.send(Frame.of(new FrameHead.Credit(stream, consumed)));
            allowed += consumed;
            consumed = 0;
        }
    }
}
