package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndedJob;
import org.acaciafold.fleet.FleetConfig;
import org.acaciafold.fleet.FleetSummary;
import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.StartOutcome;
import org.acaciafold.fleet.StepName;
import org.acaciafold.fleet.StopOutcome;
import org.acaciafold.fleet.StoreClock;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerEntry;
import org.acaciafold.fleet.WorkerReport;

/**
 * Schedules the tasks of a fleet on its workers during one term of one leader.
 *
 * <p>It performs no I/O and reads no clock. Callers pass answers to its methods and the time to {@link #advance}, and
 * {@link #tick} returns the actions to execute:
 *
 * <pre>{@code
 * Scheduler scheduler = Scheduler.create(limits, epoch, config);
 * scheduler.advance(nowMs, wallMs);
 * scheduler.restore(jobs, ended, awaitingRetirement, workers);
 * List<Effect> effects = scheduler.tick();
 * }</pre>
 */
public final class Scheduler {
    final Tables tables;
    private final EndSystem ends;
    private final WorkerLeaseSystem workerLeases;
    private final ProbeSystem probes;
    private final RegistrySystem registry;
    private final StopSystem stops;
    private final AdviceSystem advice;
    private final StartSystem starts;
    private final SilenceSystem silences;
    private final FenceSystem fences;
    private final SaveSystem saves;
    private final RetireSystem retirements;
    private final RecurrenceSystem recurrence;

    private Scheduler(Tables tables) {
        this.tables = tables;
        this.ends = new EndSystem(tables);
        this.workerLeases = new WorkerLeaseSystem(tables, ends);
        this.probes = new ProbeSystem(tables);
        this.registry = new RegistrySystem(tables);
        this.stops = new StopSystem(tables);
        this.advice = new AdviceSystem(tables);
        this.starts = new StartSystem(tables, advice);
        this.silences = new SilenceSystem(tables);
        this.fences = new FenceSystem(tables);
        this.saves = new SaveSystem(tables);
        this.retirements = new RetireSystem(tables);
        this.recurrence = new RecurrenceSystem(tables);
    }

    /**
     * Creates the scheduler of a new term.
     *
     * @param limits the lease and stop durations
     * @param epoch the number of the term, from 1
     * @param config the latest known configuration
     * @return the scheduler
     */
    public static Scheduler create(SchedulerLimits limits, long epoch, FleetConfig config) {
        int firstRun = Math.toIntExact((epoch - 1) * Tables.RUNS_PER_TERM + 1);
        return new Scheduler(new Tables(limits, firstRun, config));
    }

    /**
     * Adds a job that was accepted in this term, unless the job is already known. A job whose cancellation was recorded
     * before the job is cancelled at once.
     *
     * @param job the job
     * @return true when the job is new
     */
    public boolean accept(Job job) {
        return tables.accept(job);
    }

    /**
     * Sets the current time.
     *
     * @param nowMs the monotonic clock, in milliseconds
     * @param wallMs the wall clock, in milliseconds since 1970
     */
    public void advance(long nowMs, long wallMs) {
        tables.nowMs = nowMs;
        tables.wallMs = wallMs;
    }

    /**
     * Applies the answer to a request for placement advice.
     *
     * @param host the entry host that sent the request
     * @param step the step
     * @param granted the grants; empty when the request failed
     */
    public void adviceAnswered(String host, StepName step, Optional<List<Grant>> granted) {
        advice.answered(host, step, granted);
    }

    /**
     * Sets the entry hosts that can send requests for placement advice.
     *
     * @param hosts the identifiers of the hosts, in order of preference
     */
    public void adviceHosts(List<String> hosts) {
        advice.setHosts(hosts);
    }

    /**
     * Cancels a job whose cancellation is recorded, also if it appears only later.
     *
     * @param id the job
     * @return false when the job is not known
     */
    public boolean cancel(String id) {
        return tables.cancel(id);
    }

    /**
     * Applies what a worker's clock showed in its answer to an order, which tells an incarnation from the next one.
     *
     * @param worker the worker
     * @param clockMs the worker's monotonic clock, in milliseconds
     * @param requestedAtMs when the order was sent, on the monotonic clock of this host
     */
    public void clockReported(String worker, long clockMs, long requestedAtMs) {
        worker(worker).ifPresent(row -> workerLeases.clockReported(row, clockMs, requestedAtMs));
    }

    /**
     * Sets the configuration.
     *
     * @param config the configuration
     * @param evacuatedDomains the failure domains that are out of service
     */
    public void configure(FleetConfig config, Set<String> evacuatedDomains) {
        tables.config = config;
        tables.active.forEach(job -> job.configure(config));
        tables.evacuatedDomains.clear();
        tables.evacuatedDomains.addAll(evacuatedDomains);
    }

    /**
     * Applies another worker's answer at a worker's address, which proves that this incarnation and its runs ended.
     *
     * @param worker the worker that the call was meant for
     * @param requestedAtMs when the call was sent, on the monotonic clock of this host
     */
    public void incarnationEnded(String worker, long requestedAtMs) {
        worker(worker).ifPresent(row -> workerLeases.incarnationEnded(row, requestedAtMs));
    }

    /**
     * Applies a worker's answer to a lease renewal.
     *
     * @param worker the worker
     * @param report the worker's report
     * @param requestedAtMs when the request was sent, on the monotonic clock of this host
     */
    public void leaseRenewed(String worker, WorkerReport report, long requestedAtMs) {
        worker(worker).ifPresent(row -> workerLeases.renewed(row, report, requestedAtMs));
    }

    /**
     * Records that a worker did not answer a lease renewal.
     *
     * @param worker the worker
     * @param mayArrive whether it may still be executed, as its connection has not ended
     */
    public void leaseRenewalFailed(String worker, boolean mayArrive) {
        worker(worker).ifPresent(row -> workerLeases.renewalFailed(row, mayArrive));
    }

    /**
     * Drops the claims on a worker that are being recorded, since the store refuses their record for good.
     *
     * @param worker the worker
     */
    public void claimsRefused(String worker) {
        worker(worker).ifPresent(saves::claimsRefused);
    }

    /**
     * Ends a job as failed, since the store refuses the record of its progress for good.
     *
     * @param job the job
     */
    public void progressRefused(String job) {
        Optional.ofNullable(tables.jobs.get(job)).filter(JobRow::active).ifPresent(ends::progressRefused);
    }

    /**
     * Returns the cost of the last tick.
     *
     * @return the cost
     */
    public TickCost lastTickCost() {
        return starts.cost();
    }

    /**
     * Sets the registered workers.
     *
     * @param entries all readable entries
     * @param complete false when entries of registered workers may be missing
     */
    public void updateRegistry(List<WorkerEntry> entries, boolean complete) {
        advice.registryRead(registry.update(entries, complete));
    }

    /**
     * Returns the number of jobs of each queue that wait for their first start.
     *
     * @return the numbers by queue name
     */
    public Map<String, Integer> pending() {
        return tables.pending();
    }

    /**
     * Restores the state from the records of earlier terms.
     *
     * @param jobs the jobs that have not ended
     * @param ended the summaries of ended jobs
     * @param awaitingRetirement the ended jobs whose full records are still in the store
     * @param workers the workers on which runs of earlier terms may exist
     */
    public void restore(
            List<StoredJob> jobs,
            Map<String, EndedJob> ended,
            Set<String> awaitingRetirement,
            List<WorkerClaims> workers) {
        tables.restore(jobs, ended, awaitingRetirement);
        ClaimRecovery.restore(tables, workers);
    }

    /**
     * Restores the recorded cancellations that have no job to cancel.
     *
     * @param recordedAtMs when each was recorded, in milliseconds since 1970, by job
     */
    public void restoreCancellations(Map<String, Long> recordedAtMs) {
        recordedAtMs.forEach(tables::keepUnmatched);
    }

    /**
     * Applies a worker's answer to a probe.
     *
     * @param worker the worker
     * @param report the worker's report
     * @param requestedAtMs when the request was sent, on the monotonic clock of this host
     */
    public void probed(String worker, WorkerReport report, long requestedAtMs) {
        worker(worker).ifPresent(row -> workerLeases.probed(row, report, requestedAtMs));
    }

    /**
     * Records that a worker did not answer a probe.
     *
     * @param worker the worker
     */
    public void probeFailed(String worker) {
        worker(worker).ifPresent(probes::failed);
    }

    /**
     * Applies the confirmation that records have been removed.
     *
     * @param jobs the ended jobs whose summaries are removed
     * @param cancellations the jobs whose cancellations, which had nothing to cancel, are removed
     */
    public void removed(Set<String> jobs, Set<String> cancellations) {
        retirements.removed(jobs, cancellations);
    }

    /**
     * Applies the confirmation that the records of ended jobs have been replaced.
     *
     * @param ids the jobs
     */
    public void retired(Set<String> ids) {
        retirements.retired(ids);
    }

    /**
     * Applies the confirmation that a batch is recorded.
     *
     * @param batch the number of the batch
     */
    public void saved(long batch) {
        saves.saved(batch);
    }

    /**
     * Applies the answer to an order to start a task.
     *
     * @param worker the worker
     * @param task the task
     * @param run the number of the run
     * @param outcome the answer
     */
    public void started(String worker, TaskName task, int run, StartOutcome outcome) {
        run(worker, task, run).ifPresent(row -> starts.answered(row, outcome));
        if (outcome == StartOutcome.STARTED) {
            tables.started(task.job());
        }
    }

    /**
     * Returns the states of all known jobs as reported to clients.
     *
     * @return the states by job
     */
    public Map<String, JobState> states() {
        return tables.states();
    }

    /**
     * Sets what is known of the store's clock now.
     *
     * @param clock the times
     */
    public void storeClock(StoreClock clock) {
        tables.storeClock = clock;
    }

    /**
     * Applies the answer to an order to stop a run.
     *
     * @param worker the worker
     * @param task the task
     * @param run the number of the run
     * @param outcome the answer
     */
    public void stopped(String worker, TaskName task, int run, StopOutcome outcome) {
        run(worker, task, run).ifPresent(row -> stops.answered(row, outcome));
    }

    /**
     * Returns aggregate figures of the fleet.
     *
     * @return the summary
     */
    public FleetSummary summary() {
        return tables.summary();
    }

    /**
     * Runs all systems once; the caller must have the authority to command workers.
     *
     * @return the actions to execute, in order
     */
    public List<Effect> tick() {
        List<Effect> effects = new ArrayList<>();
        recurrence.run();
        workerLeases.expireLeases(saves.removedWorkers());
        fences.run(effects);
        tables.active.removeIf(job -> !job.active() && job.hasNoRuns());
        stops.run(effects);
        probes.run(effects);
        starts.sendOrders(effects);
        starts.run();
        advice.run(effects);
        workerLeases.run(effects);
        silences.run();
        saves.run(effects);
        retirements.run(effects);
        if (!tables.changedStates.isEmpty()) {
            effects.add(new Effect.Publish(new LinkedHashMap<>(tables.changedStates)));
            tables.changedStates.clear();
        }
        return effects;
    }

    private Optional<RunRow> run(String worker, TaskName task, int number) {
        return worker(worker).map(row -> row.runs.get(task)).filter(row -> row.number == number);
    }

    private Optional<WorkerRow> worker(String id) {
        return Optional.ofNullable(tables.workers.get(id));
    }
}
