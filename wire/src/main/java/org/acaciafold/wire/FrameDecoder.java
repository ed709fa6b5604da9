package org.acaciafold.wire;

import java.nio.ByteOrder;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;

/** Splits the byte stream of a connection into frames; rejects large frames until the peer has proven the secret. */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
    /** The maximum size of a frame in bytes before the peer has proven the cluster secret. */
    static final int MAX_UNPROVEN_BYTES = 1_024;

    private boolean proven;

    FrameDecoder() {
        super(Frame.MAX_BYTES, 0, Frame.LENGTH_BYTES, 0, Frame.LENGTH_BYTES);
    }

    /** Accepts frames up to {@link Frame#MAX_BYTES} from now on. */
    void proven() {
        proven = true;
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        super.decodeLast(context, in, out);
        if (in.isReadable()) {
            int left = in.readableBytes();
            in.skipBytes(left);
            String message = "the connection ended within a frame, after " + left + " bytes of it";
            // An exception thrown here would reach the link only after it was notified of the end of the connection.
            context.fireExceptionCaught(new CorruptedFrameException(message));
        }
    }

    @Override
    protected long getUnadjustedFrameLength(ByteBuf buffer, int offset, int length, ByteOrder order) {
        long frameLength = super.getUnadjustedFrameLength(buffer, offset, length, order);
        if (!proven && frameLength > MAX_UNPROVEN_BYTES) {
            throw new TooLongFrameException("a frame of " + frameLength + " bytes before the proof of the secret");
        }
        return frameLength;
    }
}
