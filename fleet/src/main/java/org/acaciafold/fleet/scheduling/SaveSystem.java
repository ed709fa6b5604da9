package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.Progress;
import org.acaciafold.fleet.WorkerClaims;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Collects the changes that must be recorded, and applies their effects once they are durable. */
final class SaveSystem {
    /** Limits the removals of obsolete records in one batch, so that they do not delay its claims. */
    private static final int MAX_OBSOLETE = 60;

    /** Bounds how often the record of claims is tried again that the store has refused. */
    private static final long CLAIMS_REFUSED_PAUSE_MS = 5_000;

    private static final Logger LOG = LoggerFactory.getLogger(SaveSystem.class);

    private final Tables tables;
    private final List<JobRow> jobsInBatch = new ArrayList<>();
    private final List<RunRow> runsInBatch = new ArrayList<>();
    /** Workers whose records say in the present batch that they may get leases again. */
    private final List<WorkerRow> answeringInBatch = new ArrayList<>();
    /** Workers whose records no longer say in the present batch that they get short leases only. */
    private final List<WorkerRow> longerLeasesInBatch = new ArrayList<>();

    private final List<String> removedWorkers = new ArrayList<>();

    SaveSystem(Tables tables) {
        this.tables = tables;
    }

    List<String> removedWorkers() {
        return removedWorkers;
    }

    void run(List<Effect> effects) {
        boolean nothingToSave = tables.claimed.isEmpty()
                && tables.outdatedRecords.isEmpty()
                && tables.unsaved.isEmpty()
                && removedWorkers.isEmpty()
                && tables.obsoleteProgress.isEmpty();
        if (tables.saving || nothingToSave) {
            return;
        }
        tables.saving = true;
        tables.lastBatch++;
        effects.add(new Effect.Save(
                tables.lastBatch, progress(), claims(), List.copyOf(removedWorkers), obsoleteProgress()));
        removedWorkers.clear();
    }

    void saved(long batch) {
        tables.saving = false;
        for (JobRow job : jobsInBatch) {
            // an end that was reported after the batch was collected belongs to the next batch
            job.progressRecorded = true;
            job.endRecorded = job.state.ended() && !job.unsaved;
            // the cancellation of a job that was cancelled in the meantime is published already
            if (job.endRecorded && !job.cancelled) {
                tables.changedStates.put(job.job.id(), job.state);
            }
        }
        jobsInBatch.clear();
        tables.startable.addAll(runsInBatch);
        runsInBatch.clear();
        for (WorkerRow worker : answeringInBatch) {
            worker.silenceRecorded = false;
            worker.nextRenewalAtMs = tables.nowMs;
        }
        answeringInBatch.clear();
        longerLeasesInBatch.forEach(worker -> worker.shortLeasesSinceMs = 0);
        longerLeasesInBatch.clear();
        for (WorkerRow worker : tables.workers.values()) {
            worker.endsToRecord.recorded(batch).ifPresent(end -> {
                worker.lastAcknowledgedEnd = end;
                worker.nextRenewalAtMs = tables.nowMs;
            });
        }
    }

    /** Drops the claims of the present batch on a worker, which gets no tasks for a while. */
    void claimsRefused(WorkerRow worker) {
        worker.refusedUntilMs = tables.nowMs + CLAIMS_REFUSED_PAUSE_MS;
        worker.recordRefusedUntilMs = worker.refusedUntilMs;
        answeringInBatch.remove(worker);
        longerLeasesInBatch.remove(worker);
        runsInBatch.removeIf(run -> {
            if (run.worker != worker) {
                return false;
            }
            LOG.error("claim refused task={} run={} worker={}", run.task.name, run.number, worker.id);
            tables.end(run);
            return true;
        });
    }

    private List<WorkerClaims> claims() {
        Set<WorkerRow> workers = new LinkedHashSet<>();
        tables.claimed.forEach(run -> workers.add(run.worker));
        runsInBatch.addAll(tables.claimed);
        tables.claimed.clear();
        workers.addAll(tables.outdatedRecords);
        tables.outdatedRecords.clear();
        return workers.stream().map(this::record).toList();
    }

    private WorkerClaims record(WorkerRow worker) {
        WorkerClaims record = SilenceSystem.record(worker, tables);
        worker.recorded = true;
        // it has left and come back while the removal waited
        removedWorkers.remove(worker.id);
        if (record.silence().isPresent()) {
            worker.silenceRecorded = true;
        } else if (worker.silenceRecorded) {
            answeringInBatch.add(worker);
        }
        if (record.shortLeases().isEmpty() && worker.shortLeasesSinceMs > 0) {
            longerLeasesInBatch.add(worker);
        }
        return record;
    }

    private List<String> obsoleteProgress() {
        List<String> jobs = tables.obsoleteProgress.stream().limit(MAX_OBSOLETE).toList();
        jobs.forEach(tables.obsoleteProgress::remove);
        return jobs;
    }

    private Map<String, Progress> progress() {
        Map<String, Progress> progress = new LinkedHashMap<>();
        for (JobRow job : tables.unsaved) {
            progress.put(job.job.id(), job.progress());
            job.unsaved = false;
            jobsInBatch.add(job);
        }
        tables.unsaved.clear();
        return progress;
    }
}
