package org.acaciafold.wire;

import java.util.Arrays;
import java.util.function.Consumer;

import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;

/**
 * Sends one body, limited by the credit that the receiver granted and by the send buffer; requests the next part from
 * the source only after the previous one was sent.
 */
final class BodySender extends BaseSubscriber<byte[]> {
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private final Link link;
    private final long stream;
    private final Runnable sentCallback;
    private final Consumer<Throwable> errorCallback;
    private byte[] chunk = new byte[0];
    private int offset;
    private long sent;
    private long credit = BodyReceiver.WINDOW_BYTES;
    private boolean requested;
    private boolean complete;
    private boolean ended;

    private BodySender(Link link, long stream, Runnable sentCallback, Consumer<Throwable> errorCallback) {
        this.link = link;
        this.stream = stream;
        this.sentCallback = sentCallback;
        this.errorCallback = errorCallback;
    }

    /**
     * Starts sending a body. Must be called on the event loop of the link.
     *
     * @param link the connection
     * @param stream the stream number of the request
     * @param body the body
     * @param sentCallback runs when the whole body was sent
     * @param errorCallback runs when the source of the body fails
     * @return the sender
     */
    static BodySender start(
            Link link, long stream, Flux<byte[]> body, Runnable sentCallback, Consumer<Throwable> errorCallback) {
        BodySender sender = new BodySender(link, stream, sentCallback, errorCallback);
        body.subscribe(sender);
        return sender;
    }

    /** Adds credit that the receiver granted, and continues sending. */
    void credit(int bytes) {
        credit += bytes;
        sendAvailable();
    }

    /** Sends as much as credit and send buffer allow; ends the body, or requests its next part, after all was sent. */
    void sendAvailable() {
        while (!ended && offset < chunk.length && credit > 0 && link.writable()) {
            sendPart();
        }
        if (ended || offset < chunk.length) {
            return;
        }
        if (complete) {
            ended = true;
            link.send(Frame.of(new FrameHead.End(stream, sent)));
            sentCallback.run();
        } else if (!requested) {
            requested = true;
            request(1);
        }
    }

    /** Stops sending and cancels the source. */
    void stop() {
        ended = true;
        cancel();
    }

    @Override
    protected void hookOnComplete() {
        link.execute(() -> {
            complete = true;
            sendAvailable();
        });
    }

    @Override
    protected void hookOnError(Throwable error) {
        link.execute(() -> {
            if (!ended) {
                ended = true;
                errorCallback.accept(error);
            }
        });
    }

    @Override
    protected void hookOnNext(byte[] bytes) {
        link.execute(() -> {
            chunk = bytes;
            offset = 0;
            requested = false;
            sendAvailable();
        });
    }

    @Override
    protected void hookOnSubscribe(Subscription subscription) {
        link.execute(this::sendAvailable);
    }

    private void sendPart() {
        int length = (int) Math.min(Math.min(chunk.length - offset, MAX_CHUNK_BYTES), credit);
        byte[] part = Arrays.copyOfRange(chunk, offset, offset + length);
        link.send(new Frame(new FrameHead.Chunk(stream), part));
        offset += length;
        sent += length;
        credit -= length;
    }
}
