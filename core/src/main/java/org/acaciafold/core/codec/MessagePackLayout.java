package org.acaciafold.core.codec;

import java.io.IOException;

/**
 * Checks that bytes hold exactly one MessagePack value, all parts of which are present.
 *
 * <p>A decoder allocates as many bytes as a length in its input announces, and throws unchecked exceptions at some type
 * codes, so the layout is checked first.
 */
final class MessagePackLayout {
    /** Deeper than any record, and shallow enough for a decoder that recurses. */
    private static final int MAX_DEPTH = 64;

    private static final int FIRST_FIXED_MAP = 0x80;
    private static final int FIRST_FIXED_ARRAY = 0x90;
    private static final int FIRST_FIXED_TEXT = 0xa0;
    private static final int FIRST_NEGATIVE = 0xe0;
    private static final int NIL = 0xc0;
    private static final int FIXED_COUNT_MASK = 0x0f;
    private static final int FIXED_TEXT_MASK = 0x1f;
    private static final int BYTE_MASK = 0xff;

    private final byte[] bytes;
    private final long[] pending = new long[MAX_DEPTH];
    private int depth;
    private int position;

    private MessagePackLayout(byte[] bytes) {
        this.bytes = bytes;
    }

    static void check(byte[] bytes) throws IOException {
        new MessagePackLayout(bytes).check();
    }

    private void check() throws IOException {
        open(1);
        while (depth > 0) {
            if (pending[depth - 1] == 0) {
                depth--;
            } else {
                pending[depth - 1]--;
                value();
            }
        }
        if (position < bytes.length) {
            throw new IOException("bytes after the value");
        }
    }

    private void value() throws IOException {
        int code = Math.toIntExact(number(1));
        if (code < FIRST_FIXED_MAP || code >= FIRST_NEGATIVE) {
            return;
        }
        if (code < FIRST_FIXED_ARRAY) {
            open(2L * (code & FIXED_COUNT_MASK));
        } else if (code < FIRST_FIXED_TEXT) {
            open(code & FIXED_COUNT_MASK);
        } else if (code < NIL) {
            skip(code & FIXED_TEXT_MASK);
        } else {
            sizedValue(code);
        }
    }

    private void sizedValue(int code) throws IOException {
        switch (code) {
            case NIL, 0xc2, 0xc3 -> skip(0);
            case 0xc4, 0xd9 -> skip(number(1));
            case 0xc5, 0xda -> skip(number(2));
            case 0xc6, 0xdb -> skip(number(4));
            case 0xc7 -> skip(number(1) + 1);
            case 0xc8 -> skip(number(2) + 1);
            case 0xc9 -> skip(number(4) + 1);
            case 0xcc, 0xd0 -> skip(1);
            case 0xcd, 0xd1, 0xd4 -> skip(2);
            case 0xd5 -> skip(3);
            case 0xca, 0xce, 0xd2 -> skip(4);
            case 0xd6 -> skip(5);
            case 0xcb, 0xcf, 0xd3 -> skip(8);
            case 0xd7 -> skip(9);
            case 0xd8 -> skip(17);
            case 0xdc -> open(number(2));
            case 0xdd -> open(number(4));
            case 0xde -> open(2 * number(2));
            case 0xdf -> open(2 * number(4));
            default -> throw new IOException("unused type code " + code);
        }
    }

    private void open(long values) throws IOException {
        if (depth == MAX_DEPTH) {
            throw new IOException("nested more than " + MAX_DEPTH + " levels deep");
        }
        // each value takes one byte at the least
        requireRemaining(values);
        pending[depth++] = values;
    }

    private void skip(long count) throws IOException {
        requireRemaining(count);
        position += (int) count;
    }

    private long number(int size) throws IOException {
        requireRemaining(size);
        long number = 0;
        for (int i = 0; i < size; i++) {
            number = number << Byte.SIZE | bytes[position++] & BYTE_MASK;
        }
        return number;
    }

    private void requireRemaining(long count) throws IOException {
        if (count > bytes.length - position) {
            throw new IOException("truncated");
        }
    }
}
