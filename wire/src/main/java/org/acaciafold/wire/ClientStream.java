package org.acaciafold.wire;

import java.util.concurrent.ScheduledFuture;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import reactor.core.publisher.MonoSink;

/** A relayed request on the sending host. All methods must be called on the event loop of its link. */
final class ClientStream {
    private final Link link;
    private final long id;
    private final RelayHead head;
    private final MonoSink<RelayResponse> sink;
    private final Runnable doneCallback;
    private BodySender sender;
    private BodyReceiver receiver;
    private ScheduledFuture<?> timer;
    private boolean done;

    private ClientStream(Link link, long id, RelayHead head, MonoSink<RelayResponse> sink, Runnable doneCallback) {
        this.link = link;
        this.id = id;
        this.head = head;
        this.sink = sink;
        this.doneCallback = doneCallback;
    }

    /**
     * Sends a request.
     *
     * @param link the connection
     * @param id the stream number of the request
     * @param request the request
     * @param sink receives the response or the error
     * @param doneCallback runs when the exchange has ended
     * @return the stream of the request
     */
    static ClientStream start(
            Link link, long id, RelayRequest request, MonoSink<RelayResponse> sink, Runnable doneCallback) {
        ClientStream stream = new ClientStream(link, id, request.head(), sink, doneCallback);
        stream.send(request);
        return stream;
    }

    /** Aborts the request after its caller cancelled it. */
    void cancel() {
        abort(link.failure("cancelled", "the sender has given the request up"));
    }

    /** Fails the request because the connection has ended. */
    void onClosed(Failure failure) {
        fail(failure);
    }

    /** Returns whether the exchange has ended. */
    boolean done() {
        return done;
    }

    /** Handles a frame of this request; an unexpected frame is dropped and counted. */
    void onFrame(Frame frame) throws AcaciafoldException {
        switch (frame.head()) {
            case FrameHead.ResponseHead response -> respond(response.head());
            case FrameHead.Chunk ignored -> chunk(frame.payload());
            case FrameHead.End end -> complete(end.length());
            case FrameHead.Reset reset -> fail(reset.failure());
            case FrameHead.Credit credit -> credit(credit.bytes());
            default -> link.countDroppedFrame();
        }
    }

    /** Continues sending the request body after the send buffer has drained. */
    void onWritable() {
        if (sender != null) {
            sender.sendAvailable();
        }
    }

    private void chunk(byte[] bytes) throws AcaciafoldException {
        if (receiver == null) {
            link.countDroppedFrame();
        } else {
            receiver.chunk(bytes);
        }
    }

    private void complete(long length) {
        if (receiver == null) {
            link.countDroppedFrame();
        } else if (finish()) {
            receiver.end(length);
        }
    }

    private void credit(int bytes) {
        if (sender == null) {
            link.countDroppedFrame();
        } else {
            sender.credit(bytes);
        }
    }

    private void fail(Failure failure) {
        if (!finish()) {
            return;
        }
        if (receiver == null) {
            sink.error(new AcaciafoldException(failure));
        } else {
            receiver.fail(failure);
        }
    }

    private boolean finish() {
        if (done) {
            return false;
        }
        done = true;
        if (timer != null) {
            timer.cancel(false);
        }
        if (sender != null) {
            sender.stop();
        }
        doneCallback.run();
        return true;
    }

    private void abort(Failure failure) {
        if (!done) {
            link.send(Frame.of(new FrameHead.Reset(id, failure)));
            fail(failure);
        }
    }

    /** Accepts the first response with the correlation id of the request; any other is dropped along with its body. */
    private void respond(RelayStatus status) {
        if (receiver != null || status == null || !head.requestId().equals(status.requestId())) {
            link.countDroppedFrame();
            return;
        }
        receiver = BodyReceiver.of(link, id, this::cancel);
        sink.success(new RelayResponse(status, receiver.body()));
    }

    private void send(RelayRequest request) {
        if (!link.writable() || !link.send(Frame.of(new FrameHead.RequestHead(id, head)))) {
            fail(link.notSent("peer-busy", "the connection to the peer takes no request"));
            return;
        }
        timer = link.schedule(
                () -> abort(link.failure("deadline", "no whole response within the deadline")), head.deadlineLeftMs());
        sender = BodySender.start(
                link,
                id,
                request.body(),
                () -> {},
                error -> abort(link.failure("request-cut", "the request body was cut: " + error.getMessage())));
    }
}
