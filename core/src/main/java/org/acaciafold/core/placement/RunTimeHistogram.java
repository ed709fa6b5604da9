package org.acaciafold.core.placement;

import java.util.OptionalLong;

/** A histogram of run times with four buckets per power of two, in which old values decay. */
final class RunTimeHistogram {
    private static final int PER_OCTAVE = 4;
    private static final int BUCKETS = 40 * PER_OCTAVE;
    private static final int DECAY_COUNT = 256;
    private static final int MIN_SAMPLES = 5;

    private final short[] counts = new short[BUCKETS];
    private int total;

    void add(long valueMs) {
        counts[bucket(valueMs)]++;
        total++;
        if (total >= DECAY_COUNT) {
            decay();
        }
    }

    /** Returns a quantile in milliseconds, empty while there are too few values. */
    OptionalLong quantile(double quantile) {
        if (total < MIN_SAMPLES) {
            return OptionalLong.empty();
        }
        double rank = quantile * total;
        int seen = 0;
        for (int i = 0; i < BUCKETS; i++) {
            seen += counts[i];
            if (seen >= rank) {
                return OptionalLong.of(upperBound(i));
            }
        }
        return OptionalLong.of(upperBound(BUCKETS - 1));
    }

    private static int bucket(long valueMs) {
        double octaves = Math.log(Math.max(1, valueMs)) / Math.log(2);
        return Math.min(BUCKETS - 1, (int) (octaves * PER_OCTAVE));
    }

    private void decay() {
        total = 0;
        for (int i = 0; i < BUCKETS; i++) {
            counts[i] /= 2;
            total += counts[i];
        }
    }

    private static long upperBound(int bucket) {
        return (long) Math.ceil(Math.pow(2, (bucket + 1.0) / PER_OCTAVE));
    }
}
