package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.fleet.WorkerEntry;
import org.acaciafold.fleet.WorkerReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides for a whole fleet which tasks run where, during one term of one leader.
 *
 * <p>It does no I/O and reads no clock. Answers are handed in by its methods, time by {@link #advance}, and
 * {@link #tick} returns what is to be done:
 *
 * <pre>{@code
 * Scheduler scheduler = Scheduler.create(limits, epoch, config);
 * scheduler.advance(nowMs, wallMs);
 * scheduler.restore(jobs, ended, awaitingRetirement, knownWorkers);
 * List<Effect> effects = scheduler.tick();
 * }</pre>
 */
public final class Scheduler {
    private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);

    /** Runs of a task in one leader's term stay below this number, so that the next term begins above them. */
    private static final int RUNS_PER_TERM = 1_000;

    private final Tables tables;
    private final EndSystem ends;
    private final WorkerLeaseSystem workerLeases;
    private final StopSystem stops;
    private final AdviceSystem advice;
    private final StartSystem starts;
    private final SaveSystem saves;
    private final RetireSystem retirements;
    private final RecurrenceSystem recurrence;

    private Scheduler(Tables tables) {
        this.tables = tables;
        this.ends = new EndSystem(tables);
        this.workerLeases = new WorkerLeaseSystem(tables, ends);
        this.stops = new StopSystem(tables);
        this.advice = new AdviceSystem(tables);
        this.starts = new StartSystem(tables, advice);
        this.saves = new SaveSystem(tables);
        this.retirements = new RetireSystem(tables);
        this.recurrence = new RecurrenceSystem(tables);
    }

    /**
     * Creates the scheduler of a new term.
     *
     * @param limits the bounds
     * @param epoch the number of the term, from 1
     * @param config the newest configuration known
     * @return the scheduler
     */
    public static Scheduler create(SchedulerLimits limits, long epoch, FleetConfig config) {
        int firstRun = Math.toIntExact((epoch - 1) * RUNS_PER_TERM + 1);
        return new Scheduler(new Tables(limits, firstRun, config));
    }

    /**
     * Adds a job that was accepted in this term; a job that is known already is left as it is.
     *
     * @param job the job
     * @return true when the job is new
     */
    public boolean accept(Job job) {
        if (tables.jobs.containsKey(job.id()) || tables.endedJobs.containsKey(job.id())) {
            return false;
        }
        add(new StoredJob(job, Optional.empty(), false));
        tables.changed.put(job.id(), JobState.QUEUED);
        return true;
    }

    /**
     * Sets the time for what follows.
     *
     * @param nowMs the steady clock, milliseconds
     * @param wallMs the time of day, milliseconds since 1970
     */
    public void advance(long nowMs, long wallMs) {
        tables.nowMs = nowMs;
        tables.wallMs = wallMs;
    }

    /**
     * Takes the answer to a call for advice.
     *
     * @param host the entry host that made the call
     * @param step the step
     * @param granted the grants; empty when the call failed
     */
    public void adviceAnswered(String host, StepName step, Optional<List<Grant>> granted) {
        advice.answered(host, step, granted);
    }

    /**
     * Sets which entry hosts can make calls for advice.
     *
     * @param hosts their identifiers, the preferred ones first
     */
    public void adviceHosts(List<String> hosts) {
        advice.hosts(hosts);
    }

    /**
     * Cancels a job whose cancellation is recorded.
     *
     * @param id the job
     * @return false when the job is not known
     */
    public boolean cancel(String id) {
        JobRow job = tables.jobs.get(id);
        if (job == null) {
            return tables.endedJobs.containsKey(id);
        }
        if (!job.cancelled && !job.state.ended()) {
            job.cancelled = true;
            tables.changed.put(id, JobState.CANCELLED);
            LOG.info("job cancelled job={} runs={}", id, !job.hasNoRuns());
        }
        return true;
    }

    /**
     * Sets the configuration.
     *
     * @param config the configuration
     * @param evacuated the failure domains that are taken out of service
     */
    public void configure(FleetConfig config, Set<String> evacuated) {
        tables.config = config;
        tables.evacuated.clear();
        tables.evacuated.addAll(evacuated);
    }

    /**
     * Takes a worker's answer to a renewal.
     *
     * @param worker the worker
     * @param report what it says
     * @param askedAtMs when it was asked, on our steady clock
     */
    public void leaseRenewed(String worker, WorkerReport report, long askedAtMs) {
        worker(worker).ifPresent(row -> workerLeases.answered(row, report, askedAtMs));
    }

    /**
     * Notes that a worker did not answer a renewal.
     *
     * @param worker the worker
     */
    public void leaseRenewalFailed(String worker) {
        worker(worker).ifPresent(workerLeases::failed);
    }

    /**
     * Returns what the last tick had to look at.
     *
     * @return the numbers
     */
    public TickCost lastTick() {
        return starts.cost();
    }

    /**
     * Sets which workers are registered.
     *
     * @param entries all readable entries
     * @param complete false while entries may be missing of workers that are there
     */
    public void updateRegistry(List<WorkerEntry> entries, boolean complete) {
        Set<String> present = new HashSet<>();
        for (WorkerEntry entry : entries) {
            present.add(entry.id());
            WorkerRow row = tables.workers.computeIfAbsent(
                    entry.id(), id -> new WorkerRow(id, entry.address(), entry.incarnation()));
            row.register(entry);
        }
        for (WorkerRow row : tables.workers.values()) {
            if (complete && row.registered && !present.contains(row.id)) {
                row.deregister();
                LOG.info("worker unlisted worker={} runs={}", row.id, row.runs.size());
            }
        }
    }

    /**
     * Returns how many jobs of each queue wait for their first start.
     *
     * @return the numbers by queue name
     */
    public Map<String, Integer> pending() {
        Map<String, Integer> counts = new HashMap<>();
        for (JobRow job : tables.active) {
            if (job.active() && job.state == JobState.QUEUED) {
                counts.merge(job.job.route().name(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /**
     * Takes over the records of earlier terms.
     *
     * @param jobs the jobs that have not ended
     * @param ended what is kept of the others
     * @param awaitingRetirement those among them whose whole records are still in the store
     * @param workers the workers on which runs of earlier terms may exist
     */
    public void restore(
            List<StoredJob> jobs,
            Map<String, EndedJob> ended,
            Set<String> awaitingRetirement,
            List<WorkerClaims> workers) {
        tables.endedJobs.putAll(ended);
        awaitingRetirement.forEach(id -> tables.awaitingRetirement.put(id, ended.get(id)));
        jobs.forEach(this::add);
        for (WorkerClaims known : workers) {
            WorkerRow row = tables.workers.computeIfAbsent(
                    known.id(), id -> new WorkerRow(id, known.address(), known.bornMs()));
            row.recorded = true;
            row.predecessorLeaseEndsAtMs = tables.nowMs + tables.limits.predecessorLeaseMs();
            tables.unreconciled.add(row);
        }
        ClaimRecovery.restore(tables, workers);
        LOG.info("term begins jobs={} active={} workers={}", jobs.size(), tables.active.size(), workers.size());
    }

    /**
     * Takes a worker's answer to a probe.
     *
     * @param worker the worker
     * @param report what it says
     * @param askedAtMs when it was asked, on our steady clock
     */
    public void probed(String worker, WorkerReport report, long askedAtMs) {
        worker(worker).ifPresent(row -> workerLeases.probed(row, report, askedAtMs));
    }

    /**
     * Notes that a worker did not answer a probe.
     *
     * @param worker the worker
     */
    public void probeFailed(String worker) {
        worker(worker).ifPresent(workerLeases::probeFailed);
    }

    /**
     * Notes that the records of ended jobs have been removed.
     *
     * @param ids the jobs
     */
    public void removed(Set<String> ids) {
        retirements.removed(ids);
    }

    /**
     * Notes that the records of ended jobs have been replaced.
     *
     * @param ids the jobs
     */
    public void retired(Set<String> ids) {
        retirements.retired(ids);
    }

    /**
     * Notes that a batch is recorded.
     *
     * @param batch the number of the batch
     */
    public void saved(long batch) {
        saves.saved(batch);
    }

    /**
     * Takes the answer to an order to start a task.
     *
     * @param worker the worker
     * @param task the task
     * @param run the number of the run
     * @param outcome the answer
     */
    public void started(String worker, TaskName task, int run, StartOutcome outcome) {
        run(worker, task, run).ifPresent(row -> starts.answered(row, outcome));
        JobRow job = tables.jobs.get(task.job());
        if (outcome == StartOutcome.STARTED && job != null && job.state == JobState.QUEUED && job.active()) {
            job.state = JobState.RUNNING;
            tables.changed.put(task.job(), JobState.RUNNING);
        }
    }

    /**
     * Returns what consumers are to be told of all known jobs.
     *
     * @return the states by job
     */
    public Map<String, JobState> states() {
        Map<String, JobState> states = new LinkedHashMap<>();
        tables.endedJobs.forEach((id, ended) -> states.put(id, ended.state()));
        for (JobRow job : tables.jobs.values()) {
            boolean unrecorded = job.state.ended() && !job.endRecorded;
            JobState state = job.cancelled ? JobState.CANCELLED : unrecorded ? JobState.RUNNING : job.state;
            states.put(job.job.id(), state);
        }
        return states;
    }

    /**
     * Takes the answer to an order to stop a run.
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
     * Returns numbers about the fleet.
     *
     * @return the numbers
     */
    public FleetSummary summary() {
        return tables.summary();
    }

    /**
     * Runs the systems once, with authority to command workers.
     *
     * @return what is to be done, in order
     */
    public List<Effect> tick() {
        List<Effect> effects = new ArrayList<>();
        recurrence.run();
        workerLeases.expire(saves.removedWorkers());
        tables.active.removeIf(job -> !job.active() && job.hasNoRuns());
        stops.run(effects);
        workerLeases.suspect(effects);
        starts.order(effects);
        starts.run();
        advice.run(effects);
        workerLeases.run(effects);
        saves.run(effects);
        retirements.run(effects);
        if (!tables.changed.isEmpty()) {
            effects.add(new Effect.Publish(new LinkedHashMap<>(tables.changed)));
            tables.changed.clear();
        }
        return effects;
    }

    private void add(StoredJob stored) {
        JobRow row = new JobRow(stored.job());
        stored.progress().ifPresent(row::restore);
        row.cancelled = stored.cancelled() && !row.state.ended();
        row.overRate = tables.rateLimiter.exceedsRate(stored.job(), tables.config);
        tables.jobs.put(stored.job().id(), row);
        if (row.active()) {
            tables.active.add(row);
        }
    }

    private Optional<RunRow> run(String worker, TaskName task, int number) {
        return worker(worker).map(row -> row.runs.get(task)).filter(row -> row.number == number);
    }

    private Optional<WorkerRow> worker(String id) {
        return Optional.ofNullable(tables.workers.get(id));
    }
}
