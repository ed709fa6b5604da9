package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.KnownWorker;
import org.acaciafold.fleet.Progress;

/** Collects what must be recorded, and lets it take effect once it is. */
final class SaveSystem {
    private final Tables tables;
    private final List<JobRow> jobsInBatch = new ArrayList<>();
    private final List<WorkerRow> workersInBatch = new ArrayList<>();
    private final List<String> forgotten = new ArrayList<>();

    SaveSystem(Tables tables) {
        this.tables = tables;
    }

    List<String> forgotten() {
        return forgotten;
    }

    void run(List<Effect> effects) {
        if (tables.saving) {
            return;
        }
        List<KnownWorker> workers = new ArrayList<>();
        for (WorkerRow worker : tables.workers.values()) {
            if (worker.listed && worker.contactAtMs >= 0 && !worker.recorded) {
                workers.add(new KnownWorker(worker.id, worker.address, worker.bornMs));
                worker.recording = true;
                workersInBatch.add(worker);
            }
        }
        if (workers.isEmpty() && tables.unsaved.isEmpty() && forgotten.isEmpty()) {
            return;
        }
        Map<String, Progress> progress = new LinkedHashMap<>();
        for (JobRow job : tables.unsaved) {
            progress.put(job.job.id(), job.progress());
            job.unsaved = false;
            jobsInBatch.add(job);
        }
        tables.unsaved.clear();
        tables.saving = true;
        tables.lastBatch++;
        effects.add(new Effect.Save(tables.lastBatch, progress, workers, List.copyOf(forgotten)));
        forgotten.clear();
    }

    void saved(long batch) {
        tables.saving = false;
        for (JobRow job : jobsInBatch) {
            // an end after the batch was collected waits for the next one
            job.endRecorded = job.state.ended() && !job.unsaved;
            // a job that was cancelled meanwhile is shown as cancelled already
            if (job.endRecorded && !job.cancelled) {
                tables.changed.put(job.job.id(), job.state);
            }
        }
        jobsInBatch.clear();
        for (WorkerRow worker : workersInBatch) {
            worker.recording = false;
            worker.recorded = true;
        }
        workersInBatch.clear();
        for (WorkerRow worker : tables.workers.values()) {
            if (worker.acknowledgeAfterBatch >= 0 && worker.acknowledgeAfterBatch <= batch) {
                worker.acknowledgeAfterBatch = -1;
                worker.acknowledged = worker.processed;
                worker.nextHoldAtMs = tables.nowMs;
            }
        }
    }
}
