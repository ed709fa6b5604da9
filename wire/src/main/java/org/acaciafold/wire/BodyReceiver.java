package org.acaciafold.wire;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** Receives one body, grants the sender credit as the body is consumed, and checks the length of the body. */
final class BodyReceiver {
    /** The flow-control window: the largest number of bytes of a body that may be in transit or unconsumed. */
    static final int WINDOW_BYTES = 256 * 1024;

    private final Link link;
    private final long stream;
    private final Runnable cancelCallback;
    private final Sinks.Many<byte[]> sink = Sinks.many().unicast().onBackpressureBuffer();
    private long received;
    private long windowEnd = WINDOW_BYTES;
    private int consumed;

    private BodyReceiver(Link link, long stream, Runnable cancelCallback) {
        this.link = link;
        this.stream = stream;
        this.cancelCallback = cancelCallback;
    }

    /**
     * Creates the receiver of a body.
     *
     * @param link the connection
     * @param stream the stream number of the request
     * @param cancelCallback runs on the event loop when the consumer cancels
     * @return the receiver
     */
    static BodyReceiver of(Link link, long stream, Runnable cancelCallback) {
        return new BodyReceiver(link, stream, cancelCallback);
    }

    /** Returns the body, which accepts one subscriber. */
    Flux<byte[]> body() {
        return sink.asFlux()
                .doOnNext(bytes -> link.execute(() -> consumed(bytes.length)))
                .doOnCancel(() -> link.execute(cancelCallback));
    }

    /**
     * Receives one chunk of the body.
     *
     * @param bytes the chunk
     * @throws AcaciafoldException if the sender exceeded its credit
     */
    void chunk(byte[] bytes) throws AcaciafoldException {
        received += bytes.length;
        if (received > windowEnd) {
            throw new AcaciafoldException(link.failure("window-exceeded", "more of a body came than was allowed"));
        }
        sink.tryEmitNext(bytes);
    }

    /** Terminates the body with an error. */
    void fail(Failure failure) {
        sink.tryEmitError(new AcaciafoldException(failure));
    }

    /** Completes the body, or terminates it with an error if fewer or more bytes than its length were received. */
    void end(long length) {
        if (length == received) {
            sink.tryEmitComplete();
        } else {
            fail(link.failure("body-cut", "received " + received + " of " + length + " bytes"));
        }
    }

    private void consumed(int bytes) {
        consumed += bytes;
        if (consumed >= WINDOW_BYTES / 2) {
            link.send(Frame.of(new FrameHead.Credit(stream, consumed)));
            windowEnd += consumed;
            consumed = 0;
        }
    }
}
