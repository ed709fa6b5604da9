package org.acaciafold.fleet;

/**
 * The settings of a queue's placement advice.
 *
 * @param decideMs the base duration of each call, in milliseconds
 * @param perWorkerMs the additional duration for each worker in the call, in milliseconds
 * @param validMs how long a worker accepts a ticket, in milliseconds
 */
public record AdviceSettings(double decideMs, double perWorkerMs, long validMs) {
    /**
     * Returns the expected duration of a call.
     *
     * @param workers the number of workers in the call
     * @return the duration in milliseconds
     */
    public long callMs(int workers) {
        return Math.round(decideMs + perWorkerMs * workers);
    }
}
