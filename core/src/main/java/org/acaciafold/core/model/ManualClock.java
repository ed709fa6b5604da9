package org.acaciafold.core.model;

/** A clock that changes only when {@link #advance} is called, for replays and tests. */
public final class ManualClock implements Clock {
    private long nowMs;

    private ManualClock(long nowMs) {
        this.nowMs = nowMs;
    }

    /**
     * Creates a clock.
     *
     * @param nowMs the initial time in milliseconds
     * @return the clock
     */
    public static ManualClock of(long nowMs) {
        return new ManualClock(nowMs);
    }

    /**
     * Advances the clock.
     *
     * @param byMs the number of milliseconds, not negative
     */
    public void advance(long byMs) {
        if (byMs < 0) {
            throw new IllegalArgumentException("a clock cannot go back: " + byMs);
        }
        nowMs += byMs;
    }

    @Override
    public long nowMs() {
        return nowMs;
    }
}
