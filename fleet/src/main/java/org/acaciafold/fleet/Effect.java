package org.acaciafold.fleet;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/** An action that a tick of the scheduler requests. */
public sealed interface Effect {
    /**
     * Orders a worker to start a task.
     *
     * @param worker the worker's identifier
     * @param address the worker's address
     * @param task the task
     * @param run the number of the run
     * @param spec the specification of the work, passed to the worker unchanged
     * @param untilMs when the lease ends, on the worker's clock
     * @param checkpoint the checkpoint to resume from, or empty
     * @param ticket the ticket from placement advice, or empty
     */
    record Start(
            String worker,
            String address,
            TaskName task,
            int run,
            String spec,
            long untilMs,
            String checkpoint,
            String ticket)
            implements Effect {}

    /**
     * Orders a worker to stop a run.
     *
     * @param worker the worker's identifier
     * @param address the worker's address
     * @param task the task
     * @param run the number of the run
     */
    record Stop(String worker, String address, TaskName task, int run) implements Effect {}

    /**
     * Renews the lease of a worker and requests a report of its runs.
     *
     * @param worker the worker's identifier
     * @param address the worker's address
     * @param untilMs when the lease ends, on the worker's clock; empty to request the report without renewing
     * @param acknowledged ends up to this number are recorded, and the worker may discard them
     * @param waitMs how long the worker may delay its answer until a run ends, in milliseconds
     */
    record RenewLease(String worker, String address, OptionalLong untilMs, long acknowledged, long waitMs)
            implements Effect {}

    /**
     * Records durably, with the lease, that calls may carry fencing tokens up to this one.
     *
     * @param token the token
     */
    record RaiseToken(long token) implements Effect {}

    /**
     * Requests a report of its runs from a worker at once, while the answer to a renewal may be pending.
     *
     * <p>A probe acknowledges no ends.
     *
     * @param worker the worker's identifier
     * @param address the worker's address
     */
    record Probe(String worker, String address) implements Effect {
        /**
         * Returns the call that requests the report: a renewal that grants no lease and does not wait.
         *
         * @return the call
         */
        public RenewLease request() {
            return new RenewLease(worker, address, OptionalLong.empty(), 0, 0);
        }
    }

    /**
     * Records progress durably.
     *
     * @param batch the number of the batch; batches are recorded one at a time
     * @param progress the progress by job
     * @param claims the claims of each worker whose claims have changed
     * @param removedWorkers the workers on which no run of this fleet exists any more
     * @param obsoleteProgress the jobs whose recorded progress is to be removed
     */
    record Save(
            long batch,
            Map<String, Progress> progress,
            List<WorkerClaims> claims,
            List<String> removedWorkers,
            List<String> obsoleteProgress)
            implements Effect {}

    /**
     * Replaces the full records of ended jobs with summaries and removes what has expired.
     *
     * @param jobs the summaries to keep, by job
     * @param expired the summaries to remove, by job
     * @param cancellations the jobs whose recorded cancellations to remove, since there was nothing to cancel
     */
    record Retire(Map<String, EndedJob> jobs, Map<String, EndedJob> expired, Set<String> cancellations)
            implements Effect {}

    /**
     * Requests placement advice through one of the entry hosts.
     *
     * @param host the entry host that sends the request
     * @param step the step
     * @param workers the candidate workers to request grants for
     * @param expectedMs the duration of the call according to the queue's advice settings, in milliseconds
     */
    record RequestAdvice(String host, StepName step, List<String> workers, long expectedMs) implements Effect {}

    /**
     * Broadcasts changed job states to all entry hosts.
     *
     * @param states the new states by job
     */
    record Publish(Map<String, JobState> states) implements Effect {}
}
