package org.acaciafold.entry;

/**
 * The term before the one that a host begins.
 *
 * @param epoch its number; 0 when there was none
 * @param nextEpoch the number of the next term, above all tokens of this one
 * @param endsAtStoreMs when the authority of its leader had ended, on the store's clock; 0 when unknown
 */
record Predecessor(long epoch, long nextEpoch, long endsAtStoreMs) {
    static final Predecessor NONE = new Predecessor(0, 1, 0);

    static Predecessor of(LeaseRecord holder) {
        return new Predecessor(holder.epoch(), holder.nextEpoch(), holder.endsAtStoreMs());
    }
}
