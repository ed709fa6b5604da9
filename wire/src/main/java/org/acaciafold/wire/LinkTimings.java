package org.acaciafold.wire;

/**
 * How long a connection waits for its peer.
 *
 * @param proofTimeoutMs milliseconds within which the peer must prove the secret
 * @param silenceCheckMs the interval in milliseconds at which a silent peer is asked for a sign of life
 */
record LinkTimings(long proofTimeoutMs, long silenceCheckMs) {
    /** The timings of production. */
    static final LinkTimings DEFAULT = new LinkTimings(5_000, 2_000);
}
