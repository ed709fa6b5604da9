package org.acaciafold.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;

/**
 * One frame between two entry hosts.
 *
 * <p>Format: the length of the rest of the frame and the length of the head, both as 4-byte big-endian integers, then
 * the head in MessagePack, then the payload.
 *
 * @param head the head
 * @param payload the bytes after the head
 */
record Frame(FrameHead head, byte[] payload) {
    /** The size of a length field in bytes. */
    static final int LENGTH_BYTES = 4;

    /** The maximum size of a frame in bytes, without its first length field. */
    static final int MAX_BYTES = 8 * 1024 * 1024;

    private static final byte[] NOTHING = {};

    static Frame of(FrameHead head) {
        return new Frame(head, NOTHING);
    }

    /**
     * Decodes a frame.
     *
     * @param bytes the frame without its first length field
     * @param peer the peer that errors name
     * @return the frame
     * @throws AcaciafoldException if the bytes are not a valid frame
     */
    static Frame decode(byte[] bytes, String peer) throws AcaciafoldException {
        ByteBuf buffer = Unpooled.wrappedBuffer(bytes);
        if (bytes.length < LENGTH_BYTES) {
            throw malformed(peer, "a frame of " + bytes.length + " bytes has no head");
        }
        int headLength = buffer.readInt();
        if (headLength < 0 || headLength > buffer.readableBytes()) {
            throw malformed(peer, "a head of " + headLength + " bytes does not fit its frame");
        }
        byte[] head = new byte[headLength];
        buffer.readBytes(head);
        byte[] payload = new byte[buffer.readableBytes()];
        buffer.readBytes(payload);
        return new Frame(Codec.messagePack().decode(head, FrameHead.class, Step.PEER, peer), payload);
    }

    /**
     * Encodes the frame.
     *
     * @return the encoded frame with both length fields
     */
    ByteBuf encode() {
        byte[] encodedHead = Codec.messagePack().encode(head, FrameHead.class);
        ByteBuf lengths = Unpooled.buffer(2 * LENGTH_BYTES);
        lengths.writeInt(LENGTH_BYTES + encodedHead.length + payload.length);
        lengths.writeInt(encodedHead.length);
        return Unpooled.wrappedBuffer(lengths, Unpooled.wrappedBuffer(encodedHead), Unpooled.wrappedBuffer(payload));
    }

    private static AcaciafoldException malformed(String peer, String message) {
        return new AcaciafoldException(Failure.notRun(Step.PEER, peer, "malformed-frame", message));
    }
}
