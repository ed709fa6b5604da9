package org.acaciafold.wire;

import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.HostId;

/** The head of a frame; message bytes and body bytes follow it. */
sealed interface FrameHead {
    /**
     * Opens a connection, sent by the connecting host.
     *
     * @param protocol the version of the protocol
     * @param host the connecting host
     * @param nonce random bytes that the other side's proof must cover
     */
    record Hello(int protocol, HostId host, byte[] nonce) implements FrameHead {}

    /**
     * Answers {@link Hello} and proves the cluster secret.
     *
     * @param host the accepting host
     * @param nonce random bytes that the other side's proof must cover
     * @param proof the proof of the accepting host
     */
    record Welcome(HostId host, byte[] nonce, byte[] proof) implements FrameHead {}

    /**
     * Proves the cluster secret of the connecting host; requests and messages may follow.
     *
     * @param proof the proof of the connecting host
     */
    record Proof(byte[] proof) implements FrameHead {}

    /** Carries one message of a peer as the bytes after the head. */
    record Message() implements FrameHead {}

    /**
     * Starts a request.
     *
     * @param stream the number of the request on this connection, never used again
     * @param head the head
     */
    record RequestHead(long stream, RelayHead head) implements FrameHead {}

    /**
     * Starts a response.
     *
     * @param stream the number of the request
     * @param head the head
     */
    record ResponseHead(long stream, RelayStatus head) implements FrameHead {}

    /**
     * Carries a part of a body as the bytes after the head.
     *
     * @param stream the number of the request
     */
    record Chunk(long stream) implements FrameHead {}

    /**
     * Ends a body.
     *
     * @param stream the number of the request
     * @param length the length of the whole body in bytes
     */
    record End(long stream, long length) implements FrameHead {}

    /**
     * Ends an exchange early.
     *
     * @param stream the number of the request
     * @param failure why
     */
    record Reset(long stream, Failure failure) implements FrameHead {}

    /**
     * Allows the other side to send more of a body.
     *
     * @param stream the number of the request
     * @param bytes how many bytes more
     */
    record Credit(long stream, int bytes) implements FrameHead {}

    /** Asks for {@link Pong}. */
    record Ping() implements FrameHead {}

    /** Tells that the sender is alive. */
    record Pong() implements FrameHead {}
}
