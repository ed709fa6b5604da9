package org.acaciafold.fleet;

/**
 * Aggregate figures of a fleet, as the leader publishes them in its metrics.
 *
 * @param workers registered workers
 * @param unresponsive workers that missed their last lease renewal, registered or not
 * @param runs runs that occupy capacity
 * @param activeJobs jobs that have not ended
 * @param freeCpuMillis unused processors of registered workers that respond, in thousandths
 * @param usedCpuMillis processors that runs occupy, in thousandths
 */
public record FleetSummary(
        int workers, int unresponsive, int runs, int activeJobs, long freeCpuMillis, long usedCpuMillis) {
    /**
     * Returns the summary of a host that is not the leader.
     *
     * @return a summary in which all figures are zero
     */
    public static FleetSummary empty() {
        return new FleetSummary(0, 0, 0, 0, 0, 0);
    }
}
