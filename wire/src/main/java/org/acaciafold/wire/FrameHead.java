package org.acaciafold.wire;

import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.HostId;

/** The head of a frame. The bytes of a message or of a body chunk follow as the payload. */
sealed interface FrameHead {
    /**
     * Opens a connection, sent by the connecting host.
     *
     * @param protocol the version of the protocol
     * @param host the connecting host
     * @param nonce random bytes that the proof of the other side must cover
     */
    record Hello(int protocol, HostId host, byte[] nonce) implements FrameHead {}

    /**
     * Answers {@link Hello} and proves the cluster secret.
     *
     * @param host the accepting host
     * @param nonce random bytes that the proof of the other side must cover
     * @param proof the proof of the accepting host
     */
    record Welcome(HostId host, byte[] nonce, byte[] proof) implements FrameHead {}

    /**
     * Proves that the connecting host has the cluster secret; requests and messages may follow.
     *
     * @param proof the proof of the connecting host
     */
    record Proof(byte[] proof) implements FrameHead {}

    /** Carries one message to a peer in the payload. */
    record Message() implements FrameHead {}

    /**
     * Starts a request.
     *
     * @param stream the stream number of the request, used once per connection
     * @param head the request head
     */
    record RequestHead(long stream, RelayHead head) implements FrameHead {}

    /**
     * Starts a response.
     *
     * @param stream the stream number of the request
     * @param head the response head
     */
    record ResponseHead(long stream, RelayStatus head) implements FrameHead {}

    /**
     * Carries a chunk of a body in the payload.
     *
     * @param stream the stream number of the request
     */
    record Chunk(long stream) implements FrameHead {}

    /**
     * Ends a body.
     *
     * @param stream the stream number of the request
     * @param length the length of the whole body in bytes
     */
    record End(long stream, long length) implements FrameHead {}

    /**
     * Aborts a request and its response.
     *
     * @param stream the stream number of the request
     * @param failure the reason
     */
    record Reset(long stream, Failure failure) implements FrameHead {}

    /**
     * Grants the sender of a body more credit.
     *
     * @param stream the stream number of the request
     * @param bytes the number of additional bytes that may be sent
     */
    record Credit(long stream, int bytes) implements FrameHead {}

    /** Requests a {@link Pong} as a liveness check. */
    record Ping() implements FrameHead {}

    /** Answers a {@link Ping}. */
    record Pong() implements FrameHead {}
}
