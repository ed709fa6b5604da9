package org.acaciafold.fleet;

/**
 * How a queue's placement advice behaves.
 *
 * @param decideMs milliseconds that each call takes
 * @param perWorkerMs further milliseconds for each worker named
 * @param validMs milliseconds for which a ticket is accepted by its worker
 */
public record AdviceSettings(double decideMs, double perWorkerMs, long validMs) {
    /**
     * Returns how long a call takes.
     *
     * @param workers the number of workers named
     * @return milliseconds
     */
    public long callMs(int workers) {
        return Math.round(decideMs + perWorkerMs * workers);
    }
}
