package org.acaciafold.wire;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FrameDecoderTest {
    // -- decode

    @Property(tries = 200, seed = "7")
    void shouldReturnTheSameFramesWhenTheBytesArriveInAnyPieces(
            @ForAll("frames") List<Frame> frames,
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 97) Integer> pieces)
            throws Exception {
        EmbeddedChannel channel = provenChannel();
        ByteBuf bytes = Unpooled.buffer();
        frames.forEach(frame -> bytes.writeBytes(frame.encode()));

        for (int i = 0; bytes.isReadable(); i++) {
            int length = Math.min(pieces.get(i % pieces.size()), bytes.readableBytes());
            channel.writeInbound(bytes.readBytes(length));
        }

        List<Frame> decoded = new ArrayList<>();
        for (ByteBuf frame = channel.readInbound(); frame != null; frame = channel.readInbound()) {
            decoded.add(Frame.decode(ByteBufUtil.getBytes(frame), "peer"));
        }
        assertEquals(frames.size(), decoded.size());
        for (int i = 0; i < frames.size(); i++) {
            assertEquals(frames.get(i).head(), decoded.get(i).head());
            assertArrayEquals(frames.get(i).payload(), decoded.get(i).payload());
        }
        channel.finishAndReleaseAll();
    }

    @Property(tries = 100, seed = "11")
    void shouldFailWhenTheConnectionEndsWithinAFrame(
            @ForAll("frame") Frame frame, @ForAll @IntRange(min = 1, max = 10_000) int cut) {
        EmbeddedChannel channel = provenChannel();
        ByteBuf bytes = frame.encode();
        int kept = 1 + cut % (bytes.readableBytes() - 1);

        channel.writeInbound(bytes.readBytes(kept));

        assertThrows(DecoderException.class, channel::finishAndReleaseAll);
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, Frame.MAX_BYTES + 1, Integer.MAX_VALUE, Integer.MIN_VALUE})
    void shouldFailWhenAFrameIsTooLong(int length) {
        EmbeddedChannel channel = provenChannel();

        assertThrows(
                DecoderException.class,
                () -> channel.writeInbound(Unpooled.buffer().writeInt(length).writeInt(0)));
    }

    @Test
    void shouldFailWhenALargeFrameArrivesBeforeTheProof() {
        EmbeddedChannel channel = new EmbeddedChannel(new FrameDecoder());

        assertThrows(
                DecoderException.class,
                () -> channel.writeInbound(Unpooled.buffer().writeInt(FrameDecoder.MAX_UNPROVEN_BYTES + 1)));
    }

    // -- Frame.decode

    @Property(tries = 300, seed = "13")
    void shouldReturnAFrameOrATypedErrorWhenTheBytesAreArbitrary(@ForAll @Size(max = 64) byte[] bytes) {
        try {
            Frame.decode(bytes, "peer");
        } catch (AcaciafoldException e) {
            assertEquals(Step.PEER, e.failure().step());
            assertEquals("peer", e.failure().peer());
        }
    }

    @Provide
    Arbitrary<Frame> frame() {
        Arbitrary<FrameHead> heads = Arbitraries.oneOf(
                Arbitraries.longs().greaterOrEqual(0).map(FrameHead.Chunk::new),
                Arbitraries.longs().map(stream -> new FrameHead.End(stream, stream / 2)),
                Arbitraries.strings()
                        .alpha()
                        .map(text -> new FrameHead.Reset(1, Failure.unknown(Step.PEER, text, "code", text))),
                Arbitraries.integers().map(bytes -> new FrameHead.Credit(3, bytes)),
                Arbitraries.just(new FrameHead.Message()));
        Arbitrary<byte[]> payloads = Arbitraries.bytes().array(byte[].class).ofMaxSize(300);
        return net.jqwik.api.Combinators.combine(heads, payloads).as(Frame::new);
    }

    @Provide
    Arbitrary<List<Frame>> frames() {
        return frame().list().ofMinSize(1).ofMaxSize(6);
    }

    private static EmbeddedChannel provenChannel() {
        FrameDecoder decoder = new FrameDecoder();
        decoder.proven();
        return new EmbeddedChannel(decoder);
    }
}
