package org.acaciafold.fleet.scheduling;

/** Spreads hash codes, since similar identifiers have similar ones. */
final class HashMixer {
    /** The fractional part of the golden ratio in 32 bits, whose multiples are spread evenly. */
    private static final int GOLDEN_RATIO = 0x9E3779B1;

    private static final int HALF_BITS = 15;

    private HashMixer() {}

    static int mix(int hash) {
        int product = hash * GOLDEN_RATIO;
        return product ^ product >>> HALF_BITS;
    }
}
