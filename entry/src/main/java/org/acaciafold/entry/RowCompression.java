package org.acaciafold.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import org.acaciafold.platform.Transaction;

/**
 * Compresses values that are too long for a row of the store.
 *
 * <p>Shorter values stay as they are, so that hosts of earlier releases, which could not write longer ones, read them.
 */
final class RowCompression {
    /** The first byte of a compressed value; no MessagePack value begins with it. */
    private static final byte MARK = (byte) 0xc1;

    /** Bounds the memory for a value of another writer; our own are some megabytes at the most. */
    private static final int MAX_VALUE_BYTES = 32 << 20;

    private static final int BUFFER_BYTES = 8_192;

    private RowCompression() {}

    /** Returns the value, compressed if it is too long for a row; it may still be too long then. */
    static byte[] compress(byte[] value) {
        return value.length <= Transaction.MAX_VALUE_BYTES ? value : compressAlways(value);
    }

    /** Returns whether hosts of earlier releases cannot read a value. */
    static boolean compressed(byte[] stored) {
        return stored.length > 0 && stored[0] == MARK;
    }

    /** Returns the value compressed, however short it is. */
    static byte[] compressAlways(byte[] value) {
        try (Deflater deflater = new Deflater(Deflater.BEST_SPEED)) {
            deflater.setInput(value);
            deflater.finish();
            ByteArrayOutputStream compressed = new ByteArrayOutputStream();
            compressed.write(MARK);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                compressed.write(buffer, 0, deflater.deflate(buffer));
            }
            return compressed.toByteArray();
        }
    }

    /** Returns the value that was passed to {@link #compress}. */
    static byte[] decompress(byte[] stored) throws IOException {
        if (!compressed(stored)) {
            return stored;
        }
        try (Inflater inflater = new Inflater()) {
            inflater.setInput(stored, 1, stored.length - 1);
            ByteArrayOutputStream value = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int read = inflater.inflate(buffer);
                if (read == 0 && !inflater.finished() || value.size() + read > MAX_VALUE_BYTES) {
                    throw new IOException("truncated or too long");
                }
                value.write(buffer, 0, read);
            }
            return value.toByteArray();
        } catch (DataFormatException e) {
            throw new IOException("not compressed as expected", e);
        }
    }
}
