package org.acaciafold.fleet.leadership;

/**
 * Watches a lease and tells when its holder has provably lost it.
 *
 * <p>The lease must have stayed unchanged for its length and a margin since it was first read. After the store was
 * away, a further read some time later has to confirm that, which leaves the holder the time to renew first.
 */
public final class LeaseExpiryDetector {
    private final long marginMs;
    private final long storeRecoveryMs;
    private long version = -1;
    private long leaseMs;
    private long unchangedSinceMs;
    private boolean storeUnresponsive;
    private long storeRespondsSinceMs = Long.MIN_VALUE / 2;

    private LeaseExpiryDetector(long marginMs, long storeRecoveryMs) {
        this.marginMs = marginMs;
        this.storeRecoveryMs = storeRecoveryMs;
    }

    /**
     * Creates a watch.
     *
     * @param marginMs what clocks may add to a lease, in milliseconds
     * @param storeRecoveryMs for how long the store must have answered after it did not
     * @return the watch
     */
    public static LeaseExpiryDetector of(long marginMs, long storeRecoveryMs) {
        return new LeaseExpiryDetector(marginMs, storeRecoveryMs);
    }

    /**
     * Notes what the holder said of its lease, which is older than the moment at which it is heard.
     *
     * @param announcedVersion the version of the row after the holder's last confirmed renewal
     * @param lengthMs the length of the lease by that renewal, in milliseconds
     * @param sentMs no earlier than when that renewal was sent, on the steady clock
     */
    public void heard(long announcedVersion, long lengthMs, long sentMs) {
        if (announcedVersion != version) {
            version = announcedVersion;
            leaseMs = lengthMs;
            unchangedSinceMs = sentMs;
        }
    }

    /** Notes that the store did not answer. */
    public void unanswered() {
        storeUnresponsive = true;
    }

    /**
     * Notes a reading of the lease.
     *
     * @param readVersion the version of the row
     * @param lengthMs the length of the lease that the row tells, in milliseconds
     * @param nowMs when the answer arrived, on the steady clock
     * @return true when the holder has lost the lease
     */
    public boolean observed(long readVersion, long lengthMs, long nowMs) {
        storeRespondsSinceMs = storeUnresponsive ? nowMs : storeRespondsSinceMs;
        storeUnresponsive = false;
        if (readVersion != version) {
            version = readVersion;
            leaseMs = lengthMs;
            unchangedSinceMs = nowMs;
            return false;
        }
        return nowMs - unchangedSinceMs >= leaseMs + marginMs && nowMs - storeRespondsSinceMs >= storeRecoveryMs;
    }
}
