package org.acaciafold.core.model;

/**
 * The fencing token of a control lease.
 *
 * <p>Tokens are ordered by the epoch of the slice row, then by the number of takeovers that the table did not record.
 *
 * @param epoch the epoch in the slice row at the last takeover that the table recorded
 * @param counter takeovers at the workers since that epoch
 */
public record Fence(long epoch, long counter) implements Comparable<Fence> {
    private static final Fence NONE = new Fence(0, 0);

    /**
     * Returns the token that is lower than every other token.
     *
     * @return the lowest token
     */
    public static Fence none() {
        return NONE;
    }

    /**
     * Creates a token.
     *
     * @param epoch the epoch in the slice row
     * @param counter takeovers at the workers since that epoch
     * @return the token
     */
    public static Fence of(long epoch, long counter) {
        return new Fence(epoch, counter);
    }

    @Override
    public int compareTo(Fence that) {
        int byEpoch = Long.compare(epoch, that.epoch);
        return byEpoch != 0 ? byEpoch : Long.compare(counter, that.counter);
    }

    /**
     * Returns the token for the next takeover that the table does not record.
     *
     * @return this token with its counter incremented by one
     */
    public Fence next() {
        return new Fence(epoch, counter + 1);
    }
}
