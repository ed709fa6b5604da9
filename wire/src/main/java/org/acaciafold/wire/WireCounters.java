package org.acaciafold.wire;

import java.util.concurrent.atomic.LongAdder;

/** Counts events on the connections to peers since the start of the process. This class is thread-safe. */
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
     * Returns the number of received frames that belonged to no request in progress.
     *
     * @return the count
     */
    public long droppedFrames() {
        return droppedFrames.sum();
    }

    /**
     * Returns the number of messages that were not sent because the peer was unreachable or its send buffer was full.
     *
     * @return the count
     */
    public long droppedMessages() {
        return droppedMessages.sum();
    }

    /**
     * Returns the total size of all received frames.
     *
     * @return the size in bytes
     */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    /**
     * Returns the number of connections closed because the peer violated the protocol or did not prove the secret.
     *
     * @return the count
     */
    public long rejectedConnections() {
        return rejectedConnections.sum();
    }

    /**
     * Returns the total size of all sent frames.
     *
     * @return the size in bytes
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
