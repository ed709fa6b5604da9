package org.acaciafold.fleet;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** What a tick of the scheduler wants done. */
public sealed interface Effect {
    /**
     * Orders a worker to start a task.
     *
     * @param worker the worker's identifier
     * @param address the worker's address
     * @param task the task
     * @param run the number of the run
     * @param spec what the task is told to run
     * @param untilMs the lease, on the worker's clock
     * @param checkpoint the checkpoint to resume from, or empty
     * @param ticket the ticket of the queue's advice, or empty
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
     * Renews the lease of a worker and asks what runs there.
     *
     * @param worker the worker's identifier
     * @param address the worker's address
     * @param untilMs the lease on the worker's clock; empty to look without renewing
     * @param acknowledged ends up to this number are recorded and may be forgotten
     * @param waitMs how long the worker may wait for an end
     */
    record RenewLease(String worker, String address, OptionalLong untilMs, long acknowledged, long waitMs)
            implements Effect {}

    /**
     * Asks a worker at once what runs there, beside a renewal that may still wait for its answer; acknowledges nothing.
     *
     * @param worker the worker's identifier
     * @param address the worker's address
     */
    record Probe(String worker, String address) implements Effect {}

    /**
     * Records progress durably.
     *
     * @param batch the number of the batch; batches are recorded one after the other
     * @param progress the progress by job
     * @param claims what may run on workers, for those on which that has changed
     * @param forgotten the workers on which nothing of ours runs any more
     * @param needless the jobs whose recorded progress is to be removed
     */
    record Save(
            long batch,
            Map<String, Progress> progress,
            List<WorkerClaims> claims,
            List<String> removedWorkers,
            List<String> obsoleteProgress)
            implements Effect {}

    /**
     * Replaces the records of ended jobs by short ones, and removes old ones.
     *
     * @param jobs what to keep of each job
     * @param expired the jobs of which nothing is kept any more
     */
    record Retire(Map<String, EndedJob> jobs, Map<String, EndedJob> expired) implements Effect {}

    /**
     * Asks for placement advice through one of the entry hosts.
     *
     * @param host the entry host that makes the call
     * @param step the step
     * @param workers the workers to ask about
     * @param expectedMs how long the call takes by the queue's terms
     */
    record RequestAdvice(String host, StepName step, List<String> workers, long expectedMs) implements Effect {}

    /**
     * Tells all entry hosts of states that have changed.
     *
     * @param states the new states by job
     */
    record Publish(Map<String, JobState> states) implements Effect {}
}
