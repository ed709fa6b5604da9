package org.acaciafold.core.placement;

import java.util.BitSet;
import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.TaskEnd;
import org.acaciafold.core.port.TaskView;

/**
 * Implements the placement of one slice with tables and with systems that run over them in a fixed order each tick.
 *
 * <p>Example: {@code PlacementEngine engine = TablePlacementEngine.of(seed)}.
 */
public final class TablePlacementEngine implements PlacementEngine {
    private final Tables tables;
    private final TaskEventHandler taskEvents;
    private final TimerSystem timers;
    private final StopSystem stops;
    private final ShareSystem shares;
    private final StartSystem starts;
    private final ReservationSystem gangReservations;
    private final ReservationSystem largeReservations;
    private final PreemptionSystem preemption;
    private final UnschedulableJobSystem unschedulableJobs;
    private final AllotmentEnforcementSystem allotmentEnforcement;
    private final DemandReportSystem demandReports;

    private TablePlacementEngine(Builder builder) {
        Set<PlacementFeature> features = builder.features;
        this.tables = new Tables(
                builder.seed, builder.lastAttempt, new RunTimes(features.contains(PlacementFeature.ESTIMATES)));
        this.unschedulableJobs = new UnschedulableJobSystem(tables);
        FailureTracker failures = new FailureTracker(tables, features.contains(PlacementFeature.SET_ASIDE));
        this.taskEvents = new TaskEventHandler(tables, failures, unschedulableJobs);
        this.timers = new TimerSystem(tables);
        this.stops = new StopSystem(tables);
        this.shares = new ShareSystem(tables);
        boolean reserves = features.contains(PlacementFeature.RESERVATION);
        this.gangReservations = new ReservationSystem(tables, reserves, tables.waitingGangs);
        this.largeReservations = new ReservationSystem(tables, reserves, tables.waitingLargeJobs);
        this.preemption = new PreemptionSystem(tables, features.contains(PlacementFeature.RECLAIM));
        this.starts = new StartSystem(tables, unschedulableJobs, preemption, features);
        this.allotmentEnforcement = new AllotmentEnforcementSystem(tables);
        this.demandReports = new DemandReportSystem(tables);
    }

    /**
     * Returns a builder for an engine with all features.
     *
     * @param seed the seed of the random choices
     * @return a builder
     */
    public static Builder builder(long seed) {
        return new Builder(seed);
    }

    /**
     * Creates an empty engine that numbers the attempts of each task from 1.
     *
     * @param seed the seed of the random choices
     * @return the engine
     */
    public static TablePlacementEngine of(long seed) {
        return builder(seed).build();
    }

    /** Builds an engine. */
    public static final class Builder {
        private final long seed;
        private final Set<PlacementFeature> features = EnumSet.allOf(PlacementFeature.class);
        private long lastAttempt;

        private Builder(long seed) {
            this.seed = seed;
        }

        /**
         * Builds the engine.
         *
         * @return an empty engine
         */
        public TablePlacementEngine build() {
            return new TablePlacementEngine(this);
        }

        /**
         * Sets the highest number that an earlier attempt of a task may have, so that a new slice owner reuses none.
         *
         * @param value the number, for example the epoch in its upper bits
         * @return this builder
         */
        public Builder lastAttempt(long value) {
            lastAttempt = value;
            return this;
        }

        /**
         * Disables a feature of the placement policy.
         *
         * @param feature the feature
         * @return this builder
         */
        public Builder without(PlacementFeature feature) {
            features.remove(feature);
            return this;
        }
    }

    @Override
    public void adopt(WorkerId worker, TaskView view) {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(view, "view");
        taskEvents.adopt(worker, view);
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
        tables.jobsToStop.add(row);
        tables.releaseReservations(row);
        tables.tooLargeJobs.remove(row);
        row.workspace.aboveAllotment.remove(row);
        row.workspace.queue(row.jobClass).unblockIfFirst(row);
    }

    @Override
    public void ended(TaskEnd end, long nowMs) {
        Objects.requireNonNull(end, "end");
        taskEvents.ended(end, nowMs);
    }

    @Override
    public void lost(TaskId task, long attempt) {
        Objects.requireNonNull(task, "task");
        taskEvents.lost(task, attempt);
    }

    @Override
    public void setOpen(boolean open) {
        if (open && !tables.open) {
            tables.reopened = true;
        }
        tables.open = open;
        if (!open) {
            tables.draining.addAll(tables.workers.values());
        }
    }

    @Override
    public Optional<JobProgress> progress(JobId job) {
        JobRow row = tables.jobs.get(job);
        if (row == null || !row.submitted) {
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
        taskEvents.refused(task, attempt, nowMs);
    }

    @Override
    public void removeJob(JobId job) {
        Objects.requireNonNull(job, "job");
        taskEvents.remove(job);
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
        taskEvents.submit(spec, ended, nowMs);
    }

    @Override
    public PlacementSummary summary() {
        return new PlacementSummary(tables.capacity, tables.reserved, tables.waiting, tables.running);
    }

    @Override
    public void setQuota(WorkspaceId workspace, WorkspaceQuota quota) {
        Objects.requireNonNull(quota, "quota");
        WorkspaceRow row = tables.workspace(workspace);
        row.quota = quota;
        tables.blocked.allotmentFreed(row);
        List.copyOf(row.aboveAllotment).forEach(tables::clearUnschedulable);
        row.aboveAllotment.clear();
    }

    @Override
    public List<Decision> tick(long nowMs) {
        tables.nowMs = nowMs;
        Tick tick = new Tick(tables, nowMs);
        timers.run(tick);
        stops.run(tick);
        allotmentEnforcement.run(tick);
        unschedulableJobs.run();
        shares.run();
        gangReservations.run(tick);
        largeReservations.run(tick);
        starts.run(tick);
        preemption.run(tick);
        unschedulableJobs.report(tick);
        demandReports.run(tick);
        return tick.decisions;
    }

    @Override
    public Resources usage(WorkspaceId workspace) {
        WorkspaceRow row = tables.workspaces.get(workspace);
        return row == null ? Resources.empty() : row.used;
    }
}
