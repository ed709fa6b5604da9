package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.FleetConfig;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.Progress;
import org.acaciafold.fleet.StepProgress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A job with its steps; the occurrences of a recurring job are added when they are due. */
final class JobRow {
    private static final Logger LOG = LoggerFactory.getLogger(JobRow.class);

    /** Up to this many recorded steps, completed occurrences are listed, too; hosts of earlier releases read only these. */
    private static final int MAX_LISTED_STEPS = 800;

    /** Far above the difference of two hosts' clocks. */
    private static final long MAX_CLOCK_DIFFERENCE_MS = 60_000;

    final Job job;
    /** The estimated duration from the start of each step to the end of its occurrence, in milliseconds. */
    private final long[] remainingPathMs;
    /** Where the configuration sends the tasks of the queue; as at acceptance while no configuration has the queue. */
    private String service;
    /** The settings of the queue's placement advice, like the service. */
    private Optional<AdviceSettings> advice;

    /** How long after its due time the job retains its full value, in milliseconds. */
    private final long objectiveSpanMs;

    final List<StepRow> steps = new ArrayList<>();
    JobState state = JobState.QUEUED;
    boolean cancelled;
    /** True when the job exceeds the guaranteed rate of its workspace. */
    boolean overRate;

    boolean unsaved;
    /** True once the final state is recorded, so that clients may see it. */
    boolean endRecorded;

    /** True when the store contains a progress record of the job. */
    boolean progressRecorded;

    int occurrencesAdded;
    int occurrencesDone;

    JobRow(Job job) {
        this.job = job;
        this.remainingPathMs = remainingPaths(job);
        this.service = job.route().service();
        this.advice = job.route().advice();
        this.objectiveSpanMs = Math.round(job.route().stretch() * job.criticalPathMs())
                + job.route().targetLatencyMs();
        if (!job.recurring()) {
            addOccurrence();
        }
    }

    void addOccurrence() {
        int occurrence = occurrencesAdded;
        for (int i = 0; i < job.steps().size(); i++) {
            steps.add(new StepRow(this, occurrence, i, job.steps().get(i)));
        }
        occurrencesAdded++;
    }

    /** Applies the settings of the queue by which workers are chosen; what the job was promised stays as accepted. */
    void configure(FleetConfig config) {
        config.route(job.route().name()).ifPresent(route -> {
            service = route.service();
            advice = route.advice();
        });
    }

    String service() {
        return service;
    }

    Optional<AdviceSettings> advice() {
        return advice;
    }

    boolean active() {
        return !cancelled && !state.ended();
    }

    long dueMs(int occurrence) {
        if (!job.recurring()) {
            return job.acceptedAtMs();
        }
        long leftMs = Long.MAX_VALUE - Math.max(0, job.firstDueMs());
        boolean never = occurrence > 0 && job.everyMs() > leftMs / occurrence;
        return never ? Long.MAX_VALUE : job.firstDueMs() + (long) occurrence * job.everyMs();
    }

    int occurrences() {
        return Math.max(1, job.occurrences());
    }

    /** Returns the time until which an occurrence retains its full value, in milliseconds since 1970. */
    long objectiveMs(int occurrence) {
        return dueMs(occurrence) + objectiveSpanMs();
    }

    long objectiveSpanMs() {
        return objectiveSpanMs;
    }

    /** Returns the estimated duration from the start of a step to the end of its occurrence, in milliseconds. */
    long remainingPathMs(int step) {
        return remainingPathMs[step];
    }

    Progress progress() {
        if (state.ended()) {
            return new Progress(state, List.of());
        }
        List<StepProgress> recorded = recordedFrom(0);
        if (recorded.size() <= MAX_LISTED_STEPS) {
            return new Progress(state, recorded);
        }
        int completed = 0;
        while (completed < occurrencesAdded && completed(completed)) {
            completed++;
        }
        return new Progress(state, recordedFrom(completed), completed);
    }

    private List<StepProgress> recordedFrom(int occurrence) {
        return steps.subList(occurrence * job.steps().size(), steps.size()).stream()
                .flatMap(step -> step.progress().stream())
                .toList();
    }

    private boolean completed(int occurrence) {
        int first = occurrence * job.steps().size();
        for (StepRow step : steps.subList(first, first + job.steps().size())) {
            if (step.remaining > 0) {
                return false;
            }
        }
        return true;
    }

    /** Returns the tasks under which workers have crashed. */
    List<TaskRow> crashedTasks() {
        return steps.stream()
                .flatMap(step -> step.tasks.stream())
                .filter(task -> task.crashes != null)
                .toList();
    }

    /** Returns whether a run of the job is on a worker that is not silent. */
    boolean atWork() {
        return steps.stream()
                .flatMap(step -> step.tasks.stream())
                .anyMatch(task -> task.run().filter(run -> !run.worker.silent()).isPresent());
    }

    boolean hasNoRuns() {
        return steps.stream().allMatch(StepRow::hasNoRuns);
    }

    void restore(Progress progress, long wallMs) {
        state = progress.state();
        endRecorded = state.ended();
        progressRecorded = true;
        for (int i = 0; i < progress.completedOccurrences() && mayExist(i, wallMs); i++) {
            addOccurrencesUpTo(i);
            steps.subList(i * job.steps().size(), steps.size()).forEach(StepRow::complete);
        }
        for (StepProgress recorded : progress.steps()) {
            if (mayExist(recorded.occurrence(), wallMs) && hasStep(recorded.step())) {
                addOccurrencesUpTo(recorded.occurrence());
                step(recorded.occurrence(), recorded.step()).restore(recorded);
            } else {
                LOG.warn(
                        "progress ignored job={} occurrence={} step={}",
                        job.id(),
                        recorded.occurrence(),
                        recorded.step());
            }
        }
        countOccurrences();
    }

    void countOccurrences() {
        int done = 0;
        for (int i = 0; i < occurrencesAdded; i++) {
            done += completed(i) ? 1 : 0;
        }
        occurrencesDone = done;
    }

    StepRow step(int occurrence, int index) {
        return steps.get(occurrence * job.steps().size() + index);
    }

    /** Returns a task; empty when the job has no such task, or its occurrence is not due yet. */
    Optional<TaskRow> task(int occurrence, int step, int index, long wallMs) {
        boolean known = mayExist(occurrence, wallMs)
                && hasStep(step)
                && index >= 0
                && index < job.steps().get(step).count();
        if (!known) {
            return Optional.empty();
        }
        addOccurrencesUpTo(occurrence);
        return Optional.of(step(occurrence, step).tasks.get(index));
    }

    /** Returns whether an earlier leader may have started tasks of an occurrence; its clock may have been ahead. */
    private boolean mayExist(int occurrence, long wallMs) {
        boolean due = occurrence < occurrencesAdded || dueMs(occurrence) <= wallMs + MAX_CLOCK_DIFFERENCE_MS;
        return occurrence >= 0 && occurrence < occurrences() && due;
    }

    private boolean hasStep(int step) {
        return step >= 0 && step < job.steps().size();
    }

    private void addOccurrencesUpTo(int occurrence) {
        while (occurrencesAdded <= occurrence) {
            addOccurrence();
        }
    }

    private static long[] remainingPaths(Job job) {
        long[] remainingMs = new long[job.steps().size()];
        for (int i = remainingMs.length - 1; i >= 0; i--) {
            remainingMs[i] += job.steps().get(i).estimateMs();
            for (int predecessor : job.steps().get(i).after()) {
                if (predecessor < i) {
                    remainingMs[predecessor] = Math.max(remainingMs[predecessor], remainingMs[i]);
                }
            }
        }
        return remainingMs;
    }
}
