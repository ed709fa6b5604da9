package org.acaciafold.core.request;

/**
 * A token bucket that limits retries to a fraction of the requests, so that retries cannot amplify an overload.
 *
 * <p>Example: {@code budget.recordRequest()} for each request, and {@code if (budget.tryRetry())} before each retry.
 */
public final class RetryBudget {
    private final double ratio;
    private final double capacity;
    private double tokens;

    private RetryBudget(double ratio, double capacity) {
        this.ratio = ratio;
        this.capacity = capacity;
        this.tokens = capacity;
    }

    /**
     * Creates a full budget.
     *
     * @param ratio retries per request in the long run, from 0 to 1
     * @param capacity the maximum burst of retries
     * @return the budget
     */
    public static RetryBudget of(double ratio, double capacity) {
        return new RetryBudget(ratio, capacity);
    }

    /** Records a first attempt. */
    public synchronized void recordRequest() {
        tokens = Math.min(capacity, tokens + ratio);
    }

    /**
     * Withdraws one retry from the budget.
     *
     * @return false if the budget is exhausted
     */
    public synchronized boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
