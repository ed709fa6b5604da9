package org.acaciafold.core.placement;

import java.util.BitSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.TeamId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.TaskEnd;
import org.acaciafold.core.port.TaskView;

/**
 * The placement of one slice as tables and systems that run over them in a fixed order each tick.
 *
 * <p>Example: {@code PlacementPlane plane = TablePlane.of(seed)}.
 */
public final class TablePlane implements PlacementPlane {
    private final Tables tables;
    private final TaskFacts facts;
    private final StopSystem stops;
    private final StartSystem starts;
    private final AllotmentSystem allotments;

    private TablePlane(Tables tables) {
        this.tables = tables;
        this.facts = new TaskFacts(tables);
        this.stops = new StopSystem(tables);
        this.starts = new StartSystem(tables);
        this.allotments = new AllotmentSystem(tables);
    }

    /**
     * Creates an empty plane that numbers the attempts of each task from 1.
     *
     * @param seed the seed of the random choices
     * @return the plane
     */
    public static TablePlane of(long seed) {
        return of(seed, 0);
    }

    /**
     * Creates an empty plane whose attempts are above those of earlier owners of the slice.
     *
     * @param seed the seed of the random choices
     * @param lastAttempt a number not below that of any earlier attempt, for example the epoch in its upper bits
     * @return the plane
     */
    public static TablePlane of(long seed, long lastAttempt) {
        return new TablePlane(new Tables(seed, lastAttempt));
    }

    @Override
    public void adopt(WorkerId worker, TaskView view) {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(view, "view");
        facts.adopt(worker, view);
    }

    @Override
    public void cancel(JobId job) {
        Objects.requireNonNull(job, "job");
        JobRow row = tables.jobs.get(job);
        if (row == null || row.cancelled) {
            return;
        }
        row.cancelled = true;
        tables.addWaiting(row, -row.waiting);
        tables.cancelled.add(row);
    }

    @Override
    public void ended(TaskEnd end, long nowMs) {
        Objects.requireNonNull(end, "end");
        facts.ended(end, nowMs);
    }

    @Override
    public void lost(TaskId task, long attempt) {
        Objects.requireNonNull(task, "task");
        facts.lost(task, attempt);
    }

    @Override
    public void open(boolean open) {
        tables.open = open;
        if (!open) {
            tables.draining.addAll(tables.workers.values());
        }
    }

    @Override
    public Optional<JobProgress> progress(JobId job) {
        JobRow row = tables.jobs.get(job);
        if (row == null || !row.homed) {
            return Optional.empty();
        }
        return Optional.of(new JobProgress(row.waiting, row.running, row.succeeded, row.failed, row.problem));
    }

    @Override
    public void putWorker(WorkerSpec worker, WorkerState state) {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(state, "state");
        WorkerRow row = tables.put(worker, state);
        if (state == WorkerState.LEAVING) {
            tables.draining.add(row);
        }
    }

    @Override
    public void refused(TaskId task, long attempt, long nowMs) {
        Objects.requireNonNull(task, "task");
        facts.refused(task, attempt);
    }

    @Override
    public void removeJob(JobId job) {
        Objects.requireNonNull(job, "job");
        facts.remove(job);
    }

    @Override
    public void removeWorker(WorkerId worker) {
        WorkerRow row = tables.workers.get(worker);
        if (row != null) {
            tables.remove(row);
        }
    }

    @Override
    public void started(TaskId task, long attempt, long nowMs) {
        AttemptRow row = tables.attempt(task, attempt);
        if (row != null && row.phase == AttemptRow.Phase.STARTING) {
            row.phase = AttemptRow.Phase.RUNNING;
        }
    }

    @Override
    public void submit(JobSpec spec, BitSet ended, long nowMs) {
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(ended, "ended");
        facts.submit(spec, ended, nowMs);
    }

    @Override
    public PlacementSummary summary() {
        return new PlacementSummary(tables.capacity, tables.reserved, tables.waiting, tables.running);
    }

    @Override
    public void team(TeamId team, TeamTerms terms) {
        Objects.requireNonNull(terms, "terms");
        TeamRow row = tables.team(team);
        row.terms = terms;
        tables.blocked.allotmentFreed(row);
    }

    @Override
    public List<Decision> tick(long nowMs) {
        Tick tick = new Tick(nowMs);
        stops.run(tick);
        starts.run(tick);
        allotments.run(tick);
        return tick.decisions;
    }

    @Override
    public Resources usage(TeamId team) {
        TeamRow row = tables.teams.get(team);
        return row == null ? Resources.empty() : row.used;
    }
}
