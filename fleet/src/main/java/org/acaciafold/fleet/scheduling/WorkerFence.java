package org.acaciafold.fleet.scheduling;

/**
 * The fencing token that the calls to a worker carry: the number of the term, until the worker restarts with calls under
 * way that its next incarnation may execute.
 *
 * <p>A worker does nothing for a token below the highest one that it has seen, and a new incarnation has seen none. So
 * once it has answered a call with a higher token than any call before, those that are still under way do nothing there.
 */
final class WorkerFence {
    /** The token that calls carry; 0 for the number of the term. */
    private long token;
    /** The lowest token that voids the calls for former incarnations; 0 when none has to be voided. */
    private long requiredToken;
    /** From when calls carry the required token; negative while it is not recorded. */
    private long carriedSinceMs = -1;

    /** Lets calls carry a recorded token from the first one on, as earlier calls of this term may have. */
    void startAt(long recordedToken) {
        token = recordedToken;
    }

    /** Returns the token that calls carry. */
    long token(long epoch) {
        return Math.max(token, epoch);
    }

    /** Returns the token that has to be recorded before calls may carry it; 0 for none. */
    long tokenToRecord() {
        return carriedSinceMs < 0 ? requiredToken : 0;
    }

    /** Returns whether calls for former incarnations may still be executed by the present one. */
    boolean open() {
        return requiredToken > 0;
    }

    /** Requires a higher token than any call to the worker has carried. */
    void raise(long epoch) {
        requiredToken = token(epoch) + 1;
        carriedSinceMs = -1;
    }

    /** Lets calls carry a token that is recorded, if it is required; returns whether it was. */
    boolean carry(long recordedToken, long nowMs) {
        if (tokenToRecord() == 0 || recordedToken < requiredToken) {
            return false;
        }
        token = recordedToken;
        carriedSinceMs = nowMs;
        return true;
    }

    /**
     * Applies an answer of the present incarnation.
     *
     * @param requestedAtMs when the call was sent
     * @return the time before which calls were sent that do nothing any more; negative when the answer does not tell
     */
    long answered(long requestedAtMs) {
        if (!open() || carriedSinceMs < 0 || requestedAtMs < carriedSinceMs) {
            return -1;
        }
        requiredToken = 0;
        return carriedSinceMs;
    }
}
