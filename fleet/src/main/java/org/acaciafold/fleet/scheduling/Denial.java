package org.acaciafold.fleet.scheduling;

import java.util.Objects;

/**
 * What advice said of a worker that it did not allow for a step, and by when it is asked again.
 *
 * <p>The workers that a policy allows do not change by contract, but an answer may lack one for other reasons: its entry
 * in the registry had lapsed, had just been written, or could not be read, or the answer was cut short. So no denial is
 * believed for good.
 *
 * @param incarnation the incarnation of the worker that the call was about
 * @param answeredAtMs when the answer came, on the monotonic clock of this host
 * @param confirmations how many earlier answers in a row denied the same incarnation
 * @param state whether the registry speaks for the denial
 */
record Denial(long incarnation, long answeredAtMs, int confirmations, State state) {
    /** The age at which a denial is reviewed first; with the call it fits into the 3 s for which a task may wait. */
    private static final long REVIEW_AFTER_MS = 1_500;

    /** How often that age is doubled at most, by further answers. */
    private static final int MAX_DOUBLINGS = 1;

    /** The age at which a denial is reviewed while others use most of the service, so that little is gained. */
    static final long MAX_AGE_MS = 12_000;

    Denial {
        Objects.requireNonNull(state, "state");
    }

    /** Returns a new denial; one that follows another one of the same incarnation confirms it. */
    static Denial of(long incarnation, long answeredAtMs, Denial before) {
        boolean confirms = before != null && before.incarnation == incarnation && before.state != State.DOUBTFUL;
        return new Denial(incarnation, answeredAtMs, confirms ? before.confirmations + 1 : 0, State.UNVERIFIED);
    }

    /** Returns the denial with what the registry showed of the worker around the call. */
    Denial verified(boolean listed) {
        return new Denial(incarnation, answeredAtMs, confirmations, listed ? State.VERIFIED : State.DOUBTFUL);
    }

    boolean doubtful() {
        return state == State.DOUBTFUL;
    }

    /** Returns when the denial is to be reviewed although nothing speaks against it. */
    long reviewAtMs() {
        return answeredAtMs + (REVIEW_AFTER_MS << Math.min(confirmations, MAX_DOUBLINGS));
    }

    long ageMs(long nowMs) {
        return nowMs - answeredAtMs;
    }

    /** Whether the registry listed the worker all the while around the call. */
    enum State {
        /** The registry has not been read since the answer was there. */
        UNVERIFIED,
        /** It listed the worker before the call and after the answer. */
        VERIFIED,
        /** The worker was missing, had just come back, or the registry could not be read. */
        DOUBTFUL
    }
}
