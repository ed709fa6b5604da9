package org.acaciafold.wire;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.netty.Connection;

/**
 * A connection to a peer that sends and receives frames. It is closed when the peer violates the protocol, does not
 * prove the cluster secret in time or is unresponsive. All methods except {@link #execute} and {@link #close} must be
 * called on its event loop.
 */
final class Link extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = LoggerFactory.getLogger(Link.class);
    private static final int MAX_IDLE_INTERVALS = 3;

    private final Channel channel;
    private final FrameDecoder decoder;
    private final WireCounters counters;
    private final LinkTimings timings;
    private final String peer;
    private final LinkListener listener;
    private ScheduledFuture<?> livenessCheck;
    private boolean proven;
    private boolean ended;
    private boolean frameReceived;
    private int idleIntervals;

    private Link(
            Channel channel,
            FrameDecoder decoder,
            WireCounters counters,
            LinkTimings timings,
            Function<Link, LinkListener> listener) {
        this.channel = channel;
        this.decoder = decoder;
        this.counters = counters;
        this.timings = timings;
        this.peer = name(channel.remoteAddress());
        this.listener = listener.apply(this);
    }

    /**
     * Installs the frame handlers on a connection.
     *
     * @param connection the connection
     * @param counters counts bytes and rejected connections
     * @param timings the timeouts of the connection
     * @param listener creates the listener of the link
     * @return the link
     */
    static Link install(
            Connection connection, WireCounters counters, LinkTimings timings, Function<Link, LinkListener> listener) {
        FrameDecoder decoder = new FrameDecoder();
        Link link = new Link(connection.channel(), decoder, counters, timings, listener);
        connection.addHandlerLast("frames", decoder).addHandlerLast("link", link);
        connection.channel().config().setAutoRead(true);
        link.execute(link::startLivenessChecks);
        return link;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        end(failure("connection-closed", "the connection was closed"));
        super.channelInactive(context);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
        if (writable()) {
            listener.onWritable();
        }
        super.channelWritabilityChanged(context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            reject(failure("malformed-frame", String.valueOf(cause.getMessage())));
        } else {
            end(failure("connection-failed", String.valueOf(cause.getMessage())));
        }
    }

    /** Closes the connection after all pending frames were written. */
    void close() {
        execute(() -> {
            if (open()) {
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                        .addListener(written -> end(failure("closed", "the connection was closed by this host")));
            }
        });
    }

    /** Counts a frame that belongs to no request in progress. */
    void countDroppedFrame() {
        counters.frameDropped();
    }

    /** Counts a message that is not sent. */
    void countDroppedMessage() {
        counters.messageDropped();
    }

    /** Runs a task on the event loop, after all tasks that were submitted before. */
    void execute(Runnable task) {
        channel.eventLoop().execute(task);
    }

    /** Returns a failure that names this peer, with an unknown outcome. */
    Failure failure(String code, String message) {
        return Failure.unknown(Step.PEER, peer, code, message);
    }

    /** Returns the failure of a request that was not sent. */
    Failure notSent(String code, String message) {
        return Failure.notRun(Step.PEER, peer, code, message);
    }

    /** Returns whether the connection still accepts frames. */
    boolean open() {
        return !ended && channel.isActive();
    }

    /** Returns the address of the peer. */
    String peer() {
        return peer;
    }

    /** Records that the peer has proven the cluster secret, and accepts frames of full size. */
    void proven() {
        proven = true;
        decoder.proven();
    }

    /** Schedules a task on the event loop after a delay in milliseconds. */
    ScheduledFuture<?> schedule(Runnable task, long delayMs) {
        return channel.eventLoop().schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a frame.
     *
     * @param frame the frame
     * @return false if the frame was not sent because it is too long or the connection has ended
     */
    boolean send(Frame frame) {
        if (!open()) {
            return false;
        }
        ByteBuf bytes = frame.encode();
        if (bytes.readableBytes() > Frame.MAX_BYTES) {
            LOG.warn("frame of {} bytes to {} was not sent: it exceeds the maximum size", bytes.readableBytes(), peer);
            bytes.release();
            return false;
        }
        counters.sent(bytes.readableBytes());
        channel.writeAndFlush(bytes);
        return true;
    }

    /** Returns whether the send buffer is below its high-water mark. */
    boolean writable() {
        return channel.isWritable();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
        if (ended) {
            return;
        }
        frameReceived = true;
        counters.received(bytes.readableBytes());
        try {
            dispatch(Frame.decode(ByteBufUtil.getBytes(bytes), peer));
        } catch (AcaciafoldException e) {
            reject(e.failure());
        }
    }

    private void end(Failure failure) {
        if (ended) {
            return;
        }
        ended = true;
        if (livenessCheck != null) {
            livenessCheck.cancel(false);
        }
        channel.close();
        listener.onClosed(failure);
    }

    private void reject(Failure failure) {
        if (!ended) {
            LOG.warn("connection with {} rejected: {} ({})", peer, failure.message(), failure.code());
            counters.rejected();
            end(failure);
        }
    }

    private void startLivenessChecks() {
        if (ended) {
            return;
        }
        schedule(
                () -> {
                    if (!proven) {
                        reject(failure("proof-timeout", "the peer has not proven the cluster secret in time"));
                    }
                },
                timings.proofTimeoutMs());
        long everyMs = timings.livenessCheckMs();
        livenessCheck = channel.eventLoop()
                .scheduleWithFixedDelay(this::checkLiveness, everyMs, everyMs, TimeUnit.MILLISECONDS);
    }

    private void dispatch(Frame frame) throws AcaciafoldException {
        boolean keepAlive = frame.head() instanceof FrameHead.Ping || frame.head() instanceof FrameHead.Pong;
        if (!proven || !keepAlive) {
            listener.onFrame(frame);
        } else if (frame.head() instanceof FrameHead.Ping) {
            send(Frame.of(new FrameHead.Pong()));
        }
    }

    /**
     * Closes the connection after {@link #MAX_IDLE_INTERVALS} intervals without a frame. Counts intervals instead of
     * elapsed time, so that a process that was paused does not treat its peers as failed.
     */
    private void checkLiveness() {
        idleIntervals = frameReceived ? 0 : idleIntervals + 1;
        frameReceived = false;
        if (idleIntervals >= MAX_IDLE_INTERVALS) {
            LOG.warn("connection with {} closed: the peer is unresponsive", peer);
            end(failure("peer-silent", "the peer does not answer"));
        } else if (proven && idleIntervals > 0) {
            send(Frame.of(new FrameHead.Ping()));
        }
    }

    private static String name(SocketAddress address) {
        return address instanceof InetSocketAddress socket && !socket.isUnresolved()
                ? Addresses.format(socket)
                : String.valueOf(address);
    }
}
