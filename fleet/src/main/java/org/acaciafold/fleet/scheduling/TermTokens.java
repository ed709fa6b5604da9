package org.acaciafold.fleet.scheduling;

/**
 * The fencing tokens of a term, which begin at its number.
 *
 * <pre>{@code
 * long token = TermTokens.of(scheduler).token("worker-1");
 * }</pre>
 */
public final class TermTokens {
    private final Tables tables;

    private TermTokens(Tables tables) {
        this.tables = tables;
    }

    /**
     * Returns the tokens of a scheduler's term.
     *
     * @param scheduler the scheduler
     * @return the tokens
     */
    public static TermTokens of(Scheduler scheduler) {
        return new TermTokens(scheduler.tables);
    }

    /**
     * Sets the number of the term before this one, if it is not the next lower one.
     *
     * @param epoch the number of that term
     */
    public void follows(long epoch) {
        tables.predecessorEpoch = epoch;
    }

    /**
     * Applies the confirmation that a token is recorded with the lease.
     *
     * @param token the token
     */
    public void raised(long token) {
        tables.recordedToken = Math.max(tables.recordedToken, token);
    }

    /**
     * Returns the token that a call to a worker carries now.
     *
     * @param worker the worker's identifier
     * @return the token, the number of the term or a higher one
     */
    public long token(String worker) {
        WorkerRow row = tables.workers.get(worker);
        return row == null ? tables.epoch() : row.fence.token(tables.epoch());
    }
}
