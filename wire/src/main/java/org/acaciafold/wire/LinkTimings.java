package org.acaciafold.wire;

/**
 * The timeouts of a connection to a peer.
 *
 * @param proofTimeoutMs the time in milliseconds within which the peer must prove the cluster secret
 * @param livenessCheckMs the interval of liveness checks in milliseconds; an idle peer gets a ping at each check
 */
record LinkTimings(long proofTimeoutMs, long livenessCheckMs) {
    /** The timeouts in production. */
    static final LinkTimings DEFAULT = new LinkTimings(5_000, 2_000);
}
