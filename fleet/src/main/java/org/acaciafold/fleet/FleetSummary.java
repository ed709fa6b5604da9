package org.acaciafold.fleet;

/**
 * Numbers about a fleet.
 *
 * @param workers registered workers
 * @param silent those among them that did not answer of late
 * @param runs runs that take room
 * @param activeJobs jobs that have not ended
 * @param freeCpuMillis processors that no run has, in thousandths, on workers that answer
 * @param usedCpuMillis processors that runs have, in thousandths
 */
public record FleetSummary(int workers, int silent, int runs, int activeJobs, long freeCpuMillis, long usedCpuMillis) {
    /**
     * Returns the numbers of a host that does not lead.
     *
     * @return zeros
     */
    public static FleetSummary empty() {
        return new FleetSummary(0, 0, 0, 0, 0, 0);
    }
}
