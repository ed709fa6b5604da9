package org.acaciafold.fleet.scheduling;

import java.util.OptionalLong;

/**
 * How long ago something happened, in milliseconds, which may be unknown.
 *
 * @param ms the milliseconds; empty when they are unknown
 */
record Age(OptionalLong ms) {
    private static final Age UNKNOWN = new Age(OptionalLong.empty());

    static Age unknown() {
        return UNKNOWN;
    }

    static Age of(long ms) {
        return new Age(OptionalLong.of(ms));
    }

    /** Returns the age of what happened at a time; unknown for a time that is not set. */
    static Age since(long atMs, long nowMs) {
        return atMs < 0 || atMs == Long.MAX_VALUE ? UNKNOWN : of(nowMs - atMs);
    }

    /** Returns the greater of two ages, or the one that is known. */
    Age older(Age that) {
        return ms.isEmpty() || that.ms.isPresent() && that.ms.getAsLong() > ms.getAsLong() ? that : this;
    }

    /** Returns the lesser of two ages, or the one that is known. */
    Age younger(Age that) {
        return ms.isEmpty() || that.ms.isPresent() && that.ms.getAsLong() < ms.getAsLong() ? that : this;
    }

    @Override
    public String toString() {
        return ms.isPresent() ? Long.toString(ms.getAsLong()) : "unknown";
    }
}
