package org.acaciafold.fleet.scheduling;

/**
 * Since when all reads of the registry have listed a worker.
 *
 * <p>Entries may lapse and return while the registry cannot be read, so a longer gap between two reads counts as a read
 * that did not list the worker.
 */
final class RegistryPresence {
    /** After this time the advice service knows a worker that has registered or is back, too. */
    static final long SETTLING_MS = 1_000;

    private static final long NOT_LISTED = Long.MAX_VALUE;

    private long sinceMs = NOT_LISTED;

    /**
     * Records what a read of the registry shows.
     *
     * @param listed whether it lists the worker
     * @param gap whether the former read was too long ago
     * @param readAtMs from when a worker counts as listed that the former read did not list
     */
    void read(boolean listed, boolean gap, long readAtMs) {
        if (!listed) {
            sinceMs = NOT_LISTED;
        } else if (gap || sinceMs == NOT_LISTED) {
            sinceMs = readAtMs;
        }
    }

    /** Returns whether the reads have listed the worker without a break from well before a moment up to now. */
    boolean settledAt(long atMs) {
        return sinceMs != NOT_LISTED && atMs - sinceMs >= SETTLING_MS;
    }
}
