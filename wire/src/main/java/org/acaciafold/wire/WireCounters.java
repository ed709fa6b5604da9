package org.acaciafold.wire;

import java.util.concurrent.atomic.LongAdder;

/** Counts what happens on the connections to peers, since the start; safe for use by several threads. */
public final class WireCounters {
    private final LongAdder droppedMessages = new LongAdder();
    private final LongAdder droppedFrames = new LongAdder();
    private final LongAdder rejectedConnections = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();

    private WireCounters() {}

    /**
     * Creates counters at zero.
     *
     * @return the counters
     */
    public static WireCounters create() {
        return new WireCounters();
    }

    /**
     * Returns how many received frames belonged to no request in progress.
     *
     * @return the count
     */
    public long droppedFrames() {
        return droppedFrames.sum();
    }

    /**
     * Returns how many messages were not sent, because the peer was away or its buffer was full.
     *
     * @return the count
     */
    public long droppedMessages() {
        return droppedMessages.sum();
    }

    /**
     * Returns how many bytes of frames were received.
     *
     * @return bytes
     */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    /**
     * Returns how many connections were closed because the peer broke the protocol or did not prove the secret.
     *
     * @return the count
     */
    public long rejectedConnections() {
        return rejectedConnections.sum();
    }

    /**
     * Returns how many bytes of frames were sent.
     *
     * @return bytes
     */
    public long sentBytes() {
        return sentBytes.sum();
    }

    void frameDropped() {
        droppedFrames.increment();
    }

    void messageDropped() {
        droppedMessages.increment();
    }

    void received(long bytes) {
        receivedBytes.add(bytes);
    }

    void rejected() {
        rejectedConnections.increment();
    }

    void sent(long bytes) {
        sentBytes.add(bytes);
    }
}
