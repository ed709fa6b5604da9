package org.acaciafold.coordination;

/** Computes a hash of a text that is the same in every process and version. */
final class StableHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private StableHash() {}

    /**
     * Hashes a text by FNV-1a with a final mix of the bits.
     *
     * @param text the text
     * @return the hash, distributed over all 64 bits
     */
    static long of(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash ^= text.charAt(i);
            hash *= FNV_PRIME;
        }
        hash ^= hash >>> 33;
        hash *= 0xff51afd7ed558ccdL;
        hash ^= hash >>> 33;
        return hash;
    }
}
