package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndedJob;
import org.acaciafold.fleet.FleetConfig;
import org.acaciafold.fleet.FleetSummary;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.StoreClock;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.TaskName;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The tables that the systems of the scheduler share. */
final class Tables {
    private static final Logger LOG = LoggerFactory.getLogger(Tables.class);

    final SchedulerLimits limits;
    /** A task has fewer runs than this in one term, so that run numbers of the next term start above them. */
    static final int RUNS_PER_TERM = 1_000;

    /** The lowest run number of this term, above all run numbers of earlier terms. */
    final int firstRun;

    final Map<String, JobRow> jobs = new LinkedHashMap<>();
    /** Ended jobs of which only the summary is kept in memory. */
    final Map<String, EndedJob> endedJobs = new HashMap<>();

    /** Ended jobs whose full records are still in the store. */
    final Map<String, EndedJob> awaitingRetirement = new LinkedHashMap<>();

    /** Recorded cancellations of jobs that do not exist yet or have ended otherwise, with their times. */
    final Map<String, Long> unmatchedCancellations = new LinkedHashMap<>();

    /** Jobs whose progress records are obsolete and wait for removal. */
    final Set<String> obsoleteProgress = new LinkedHashSet<>();

    final WorkspaceRateLimiter rateLimiter = new WorkspaceRateLimiter();
    final LimitTurns limitTurns = new LimitTurns();
    final Set<JobRow> active = new LinkedHashSet<>();
    final Map<String, WorkerRow> workers = new TreeMap<>();
    final Map<String, Resources> usedByWorkspace = new HashMap<>();
    private final Map<String, Set<RunRow>> unconfirmedByWorkspace = new HashMap<>();
    private final Map<String, Resources> silentByWorkspace = new HashMap<>();
    private long silentAsOfMs = Long.MIN_VALUE;
    final Map<String, JobState> changedStates = new LinkedHashMap<>();
    final Set<JobRow> unsaved = new LinkedHashSet<>();
    /** Tasks under which workers have crashed. */
    final Set<TaskRow> crashed = new LinkedHashSet<>();

    /** Claimed runs that are not in a batch yet. */
    final List<RunRow> claimed = new ArrayList<>();
    /** Runs whose claims are recorded and whose start orders can be sent. */
    final List<RunRow> startable = new ArrayList<>();
    /** Workers whose records do not say yet whether they are silent, or which leases they get. */
    final Set<WorkerRow> outdatedRecords = new LinkedHashSet<>();

    final Set<String> evacuatedDomains = new HashSet<>();
    /** Orders to stop orphans. */
    final List<Effect> orphanStops = new ArrayList<>();

    final Set<WorkerRow> unreconciled = new HashSet<>();
    FleetConfig config;
    long lastBatch;
    /** The highest fencing token that is recorded with the lease. */
    long recordedToken;
    /** The number of the term before this one. */
    long predecessorEpoch;

    boolean saving;
    long nowMs;
    long wallMs;
    StoreClock storeClock = StoreClock.UNKNOWN;

    Tables(SchedulerLimits limits, int firstRun, FleetConfig config) {
        this.limits = limits;
        this.firstRun = firstRun;
        this.config = config;
        this.recordedToken = epoch();
        this.predecessorEpoch = epoch() - 1;
    }

    void begin(RunRow run) {
        run.task.begin(run);
        occupy(run);
    }

    /** Counts a run against its worker and its workspace, even when it is a second run of its task. */
    void occupy(RunRow run) {
        run.worker.add(run);
        String workspace = run.task.step.job.job.workspace();
        usedByWorkspace.merge(workspace, run.resources, Resources::plus);
        if (run.phase != RunPhase.RUNNING) {
            unconfirmedByWorkspace
                    .computeIfAbsent(workspace, name -> new LinkedHashSet<>())
                    .add(run);
        }
    }

    void end(RunRow run) {
        String workspace = run.task.step.job.job.workspace();
        Optional.ofNullable(unconfirmedByWorkspace.get(workspace)).ifPresent(runs -> runs.remove(run));
        if (run.worker.runs.get(run.task.name) != run) {
            return;
        }
        run.worker.remove(run);
        usedByWorkspace.merge(workspace, Resources.empty().minus(run.resources), Resources::plus);
    }

    /** Returns what a workspace uses by runs on silent workers, as of this tick. */
    Resources silentUse(String workspace) {
        if (silentAsOfMs != nowMs) {
            silentAsOfMs = nowMs;
            silentByWorkspace.clear();
            for (WorkerRow worker : workers.values()) {
                if (worker.silent()) {
                    worker.runs
                            .values()
                            .forEach(run -> silentByWorkspace.merge(
                                    run.task.step.job.job.workspace(), run.resources, Resources::plus));
                }
            }
        }
        return silentByWorkspace.getOrDefault(workspace, Resources.empty());
    }

    /** Returns whether a workspace has runs that may still start. */
    boolean hasUnconfirmedRuns(String workspace) {
        Set<RunRow> runs = unconfirmedByWorkspace.getOrDefault(workspace, Set.of());
        for (Iterator<RunRow> iterator = runs.iterator(); iterator.hasNext(); ) {
            if (iterator.next().phase != RunPhase.RUNNING) {
                return true;
            }
            iterator.remove();
        }
        return false;
    }

    /** Returns the number of the term. */
    long epoch() {
        return (firstRun - 1) / RUNS_PER_TERM + 1;
    }

    /** Adds the jobs that earlier terms have recorded. */
    void restore(List<StoredJob> recorded, Map<String, EndedJob> ended, Set<String> stillRecorded) {
        endedJobs.putAll(ended);
        stillRecorded.forEach(id -> awaitingRetirement.put(id, ended.get(id)));
        recorded.stream().sorted(StoredJob.BY_ACCEPTANCE).forEach(this::add);
    }

    /** Records that a task of a job has started. */
    void started(String id) {
        JobRow job = jobs.get(id);
        if (job != null && job.state == JobState.QUEUED && job.active()) {
            job.state = JobState.RUNNING;
            changedStates.put(id, JobState.RUNNING);
        }
    }

    /** Adds a job of this term; returns false when it is already known. */
    boolean accept(Job job) {
        if (jobs.containsKey(job.id()) || endedJobs.containsKey(job.id())) {
            return false;
        }
        boolean cancelled = unmatchedCancellations.remove(job.id()) != null;
        add(new StoredJob(job, Optional.empty(), cancelled));
        changedStates.put(job.id(), cancelled ? JobState.CANCELLED : JobState.QUEUED);
        if (cancelled) {
            LOG.info("job cancelled before it was created job={}", job.id());
        }
        return true;
    }

    /** Cancels a job; returns false when it is not known, and it is then cancelled as soon as it appears. */
    boolean cancel(String id) {
        JobRow job = jobs.get(id);
        if (job == null || job.state.ended()) {
            boolean known = job != null || endedJobs.containsKey(id);
            if (!known) {
                LOG.info("cancellation kept for a job that may still be created job={} epoch={}", id, epoch());
            }
            keepUnmatched(id, wallMs);
            return known;
        }
        if (!job.cancelled) {
            job.cancelled = true;
            changedStates.put(id, JobState.CANCELLED);
            LOG.info("job cancelled job={} runs={}", id, !job.hasNoRuns());
        }
        return true;
    }

    /** Keeps a recorded cancellation that has nothing to cancel, for a job that may still be created. */
    void keepUnmatched(String id, long recordedAtMs) {
        EndedJob ended = endedJobs.get(id);
        if (ended == null || ended.state() != JobState.CANCELLED) {
            unmatchedCancellations.merge(id, Math.min(recordedAtMs, wallMs), Math::max);
        }
    }

    /** Returns the states of all known jobs as reported to clients. */
    Map<String, JobState> states() {
        Map<String, JobState> states = new LinkedHashMap<>();
        endedJobs.forEach((id, ended) -> states.put(id, ended.state()));
        for (JobRow job : jobs.values()) {
            boolean unrecorded = job.state.ended() && !job.endRecorded;
            JobState state = job.cancelled ? JobState.CANCELLED : unrecorded ? JobState.RUNNING : job.state;
            states.put(job.job.id(), state);
        }
        return states;
    }

    /** Returns the number of jobs of each queue that wait for their first start. */
    Map<String, Integer> pending() {
        Map<String, Integer> counts = new HashMap<>();
        for (JobRow job : active) {
            if (job.active() && job.state == JobState.QUEUED) {
                counts.merge(job.job.route().name(), 1, Integer::sum);
            }
        }
        return counts;
    }

    FleetSummary summary() {
        int registered = 0;
        int unresponsive = 0;
        int runs = 0;
        long free = 0;
        long used = 0;
        for (WorkerRow worker : workers.values()) {
            registered += worker.registered ? 1 : 0;
            unresponsive += worker.missedRenewals > 0 ? 1 : 0;
            runs += worker.runs.size();
            free += worker.registered && worker.missedRenewals == 0
                    ? worker.free().cpuMillis()
                    : 0;
            used += worker.used.cpuMillis();
        }
        return new FleetSummary(registered, unresponsive, runs, active.size(), free, used);
    }

    Optional<TaskRow> task(TaskName name) {
        JobRow job = jobs.get(name.job());
        return job == null ? Optional.empty() : job.task(name.occurrence(), name.step(), name.index(), wallMs);
    }

    void unsaved(JobRow job) {
        job.unsaved = true;
        unsaved.add(job);
    }

    private void add(StoredJob stored) {
        JobRow row = new JobRow(stored.job());
        row.configure(config);
        stored.progress().ifPresent(progress -> row.restore(progress, wallMs));
        row.cancelled = stored.cancelled() && !row.state.ended();
        row.overRate = rateLimiter.exceedsRate(stored.job(), config, wallMs);
        jobs.put(stored.job().id(), row);
        if (row.active()) {
            active.add(row);
            crashed.addAll(row.crashedTasks());
        }
    }
}
