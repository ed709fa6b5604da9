package org.acaciafold.fleet.leadership;

/**
 * Detects when the holder of a lease has provably lost it.
 *
 * <p>The lease has expired when its row has stayed unchanged for the length of the lease plus a margin since that
 * version was first read or announced. After the store was unresponsive, a further read after the recovery time has to
 * confirm this, so that the holder has time to renew first.
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
     * Creates a detector.
     *
     * @param marginMs the allowance for clock differences, in milliseconds
     * @param storeRecoveryMs how long the store must have responded again after it was unresponsive, in milliseconds
     * @return the detector
     */
    public static LeaseExpiryDetector of(long marginMs, long storeRecoveryMs) {
        return new LeaseExpiryDetector(marginMs, storeRecoveryMs);
    }

    /**
     * Records the lease that the holder announced in a heartbeat; the lease is older than the heartbeat's arrival.
     *
     * @param announcedVersion the version of the row after the holder's last confirmed renewal
     * @param lengthMs the length of the lease by that renewal, in milliseconds
     * @param sentMs a time no earlier than when that renewal was sent, on the monotonic clock
     */
    public void leaseAnnounced(long announcedVersion, long lengthMs, long sentMs) {
        if (announcedVersion != version) {
            version = announcedVersion;
            leaseMs = lengthMs;
            unchangedSinceMs = sentMs;
        }
    }

    /** Records that the store did not respond to a read of the lease. */
    public void readFailed() {
        storeUnresponsive = true;
    }

    /**
     * Records a successful read of the lease and returns whether the lease has expired.
     *
     * @param readVersion the version of the row that was read
     * @param lengthMs the length of the lease in the row, in milliseconds
     * @param nowMs when the answer arrived, on the monotonic clock
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
