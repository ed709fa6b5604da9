package org.acaciafold.wire;

import java.util.concurrent.ScheduledFuture;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;

/** A relayed request on the receiving host. All methods must be called on the event loop of its link. */
final class ServerStream {
    private final Link link;
    private final long id;
    private final Runnable doneCallback;
    private final BodyReceiver receiver;
    private final Disposable.Swap handling = Disposables.swap();
    private ScheduledFuture<?> timer;
    private BodySender sender;
    private boolean done;

    private ServerStream(Link link, long id, Runnable doneCallback) {
        this.link = link;
        this.id = id;
        this.doneCallback = doneCallback;
        this.receiver = BodyReceiver.of(link, id, () -> {});
    }

    /**
     * Creates the stream of a received request.
     *
     * @param link the connection
     * @param id the stream number of the request
     * @param doneCallback runs when the exchange has ended
     * @return the stream of the request
     */
    static ServerStream of(Link link, long id, Runnable doneCallback) {
        return new ServerStream(link, id, doneCallback);
    }

    /** Cancels the handler after the connection ended, the sender aborted the request or this host reset it. */
    void abort(Failure failure) {
        if (finish()) {
            receiver.fail(failure);
            handling.dispose();
            if (sender != null) {
                sender.stop();
            }
        }
    }

    /** Handles a frame of this request. */
    void onFrame(Frame frame) throws AcaciafoldException {
        switch (frame.head()) {
            case FrameHead.Chunk ignored -> receiver.chunk(frame.payload());
            case FrameHead.End end -> receiver.end(end.length());
            case FrameHead.Reset reset -> abort(reset.failure());
            case FrameHead.Credit credit -> credit(credit.bytes());
            default -> link.countDroppedFrame();
        }
    }

    /** Passes the request to the handler and sends its response. */
    void handle(RelayHead head, RelayHandler handler) {
        timer = link.schedule(
                () -> reset(link.failure("deadline", "no whole response within the deadline")), head.deadlineLeftMs());
        Mono<RelayResponse> response = Mono.defer(() -> handler.handle(new RelayRequest(head, receiver.body())));
        handling.replace(response.subscribe(
                answer -> link.execute(() -> respond(answer)),
                error -> link.execute(() -> reset(unknown(error))),
                () -> link.execute(this::requireResponse)));
    }

    /** Continues sending the response body after the send buffer has drained. */
    void onWritable() {
        if (sender != null) {
            sender.sendAvailable();
        }
    }

    private void credit(int bytes) {
        if (sender == null) {
            link.countDroppedFrame();
        } else {
            sender.credit(bytes);
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
        doneCallback.run();
        return true;
    }

    private void requireResponse() {
        if (sender == null) {
            reset(link.failure("no-response", "the peer has no response"));
        }
    }

    private void reset(Failure failure) {
        if (!done) {
            link.send(Frame.of(new FrameHead.Reset(id, failure)));
            abort(failure);
        }
    }

    private void respond(RelayResponse answer) {
        if (done || !link.send(Frame.of(new FrameHead.ResponseHead(id, answer.head())))) {
            answer.body().subscribe().dispose();
            return;
        }
        sender = BodySender.start(link, id, answer.body(), this::sent, error -> reset(unknown(error)));
    }

    private void sent() {
        if (finish()) {
            receiver.fail(link.failure("answered", "the response was sent before the request had ended"));
        }
    }

    private Failure unknown(Throwable error) {
        if (error instanceof AcaciafoldException typed) {
            Failure failure = typed.failure();
            return Failure.unknown(failure.step(), failure.peer(), failure.code(), failure.message());
        }
        return link.failure("relay-failed", String.valueOf(error.getMessage()));
    }
}
