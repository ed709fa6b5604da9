package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Workspace;

/** Describes a job to an operator, in lines of names and values as in the log. */
final class JobExplanation {
    private static final int MAX_STEPS = 50;

    /** The steps of which the workers are told; each of them takes a look through all workers. */
    private static final int MAX_STEPS_WITH_WORKERS = 5;

    private static final int MAX_WORKERS = 20;
    private static final int MAX_RUNS = 20;

    private final JobRow job;
    private final Tables tables;
    private final List<String> lines = new ArrayList<>();
    /** The line that tells why the first waiting step waits. */
    private Optional<String> decisive = Optional.empty();

    private JobExplanation(JobRow job, Tables tables) {
        this.job = job;
        this.tables = tables;
    }

    static List<String> of(JobRow job, Tables tables) {
        JobExplanation explanation = new JobExplanation(job, tables);
        explanation.describe();
        return explanation.lines;
    }

    private void describe() {
        List<StepRow> open =
                job.steps.stream().filter(step -> step.remaining > 0).toList();
        lines.add(
                "job job=%s state=%s cancelled=%s queue=%s workspace=%s service=%s steps=%d open=%d epoch=%d config=%d"
                        .formatted(
                                job.job.id(),
                                job.state,
                                job.cancelled,
                                job.job.route().name(),
                                job.job.workspace(),
                                job.service(),
                                job.steps.size(),
                                open.size(),
                                tables.epoch(),
                                tables.config.version()));
        if (!job.active()) {
            return;
        }
        if (job.job.recurring() && job.occurrencesAdded < job.occurrences()) {
            lines.add("occurrence not due occurrence=%d dueInMs=%d"
                    .formatted(job.occurrencesAdded, job.dueMs(job.occurrencesAdded) - tables.wallMs));
        }
        describeSteps(open);
        decisive.ifPresent(line -> lines.add("decided by: " + line));
    }

    private void describeSteps(List<StepRow> open) {
        int withWorkers = 0;
        for (StepRow step : open.subList(0, Math.min(MAX_STEPS, open.size()))) {
            Optional<StepRow> predecessor = openPredecessor(step);
            if (predecessor.isPresent()) {
                describeNotReady(step, predecessor.get());
            } else if (!step.hasWaitingTasks()) {
                lines.add("step runs " + tasks(step));
            } else if (withWorkers < MAX_STEPS_WITH_WORKERS) {
                withWorkers++;
                describeWaiting(step);
            } else {
                lines.add("step waits " + tasks(step) + " reason=" + step.waitReason);
            }
        }
        if (open.size() > MAX_STEPS) {
            lines.add("further steps steps=" + (open.size() - MAX_STEPS));
        }
    }

    private Optional<StepRow> openPredecessor(StepRow step) {
        return step.spec.after().stream()
                .map(index -> job.step(step.occurrence, index))
                .filter(predecessor -> predecessor.remaining > 0)
                .findFirst();
    }

    private void describeNotReady(StepRow step, StepRow predecessor) {
        lines.add("step not ready %s waitsFor=%s remaining=%d"
                .formatted(tasks(step), number(predecessor), predecessor.remaining));
    }

    private void describeWaiting(StepRow step) {
        FittingWorkers fitting = FittingWorkers.of(step, tables);
        Resources each = step.spec.each();
        String line = ("step waits %s reason=%s waitedMs=%s readyForMs=%s gang=%s cpuMillis=%d memoryMib=%d"
                        + " accelerators=%d roomTwice=%s allowed=%d denied=%d adviceInFlight=%s %s")
                .formatted(
                        tasks(step),
                        step.waitReason,
                        Age.since(step.waitingSinceMs, tables.nowMs),
                        Age.since(step.readyAtMs, tables.nowMs),
                        step.spec.gang(),
                        each.cpuMillis(),
                        each.memoryMib(),
                        each.accelerators(),
                        FleetRoom.of(tables).hasTwice(step),
                        step.allowed.size(),
                        step.denied.size(),
                        step.adviceInFlight,
                        fitting.summary());
        lines.add(line);
        decisive = decisive.or(() -> Optional.of(line));
        fitting.first(MAX_WORKERS).forEach(worker -> describeWorker(step, worker));
        if (step.waitReason == WaitReason.WORKSPACE_LIMIT) {
            describeWorkspace();
        }
    }

    private void describeWorker(StepRow step, FittingWorker fitting) {
        WorkerRow worker = fitting.worker();
        HeldRuns held = HeldRuns.of(worker.runs.values(), tables.nowMs);
        lines.add(("worker not used step=%s worker=%s reason=%s condition=%s room=%d denialMs=%s contactAgeMs=%s"
                        + " freeCpuMillis=%d freeMemoryMib=%d runs=%d unconfirmed=%d unconfirmedOldestMs=%s")
                .formatted(
                        number(step),
                        worker.id,
                        fitting.reason(),
                        fitting.ineligibility().map(Ineligibility::name).orElse("none"),
                        fitting.vacancies(),
                        fitting.denial(),
                        Age.since(worker.lastContactAtMs, tables.nowMs),
                        worker.free().cpuMillis(),
                        worker.free().memoryMib(),
                        held.runs(),
                        held.unconfirmed(),
                        held.unconfirmedOldest()));
    }

    /** Describes the limit of the workspace, and the runs that use it and are not known to be at work. */
    private void describeWorkspace() {
        String name = job.job.workspace();
        WorkspaceUse use = WorkspaceUse.of(name, tables);
        lines.add("workspace limit workspace=%s limit=%s running=%s unconfirmed=%s silent=%s surplus=%s"
                .formatted(
                        name,
                        tables.config.workspace(name).map(Workspace::limit).orElse(Resources.empty()),
                        use.running(),
                        use.unconfirmed(),
                        use.silent(),
                        use.surplus()));
        tables.workers.values().stream()
                .flatMap(worker -> worker.runs.values().stream())
                .filter(run -> run.task.step.job.job.workspace().equals(name))
                .filter(run -> run.phase != RunPhase.RUNNING || !run.worker.answers())
                .limit(MAX_RUNS)
                .forEach(this::describeRun);
    }

    private void describeRun(RunRow run) {
        lines.add("run holds limit task=%s run=%d worker=%s phase=%s ageMs=%s contactAgeMs=%s"
                .formatted(
                        run.task.name,
                        run.number,
                        run.worker.id,
                        run.phase,
                        Age.since(run.sinceMs(), tables.nowMs),
                        Age.since(run.worker.lastContactAtMs, tables.nowMs)));
    }

    private String tasks(StepRow step) {
        int done = 0;
        int running = 0;
        int unconfirmed = 0;
        for (TaskRow task : step.tasks) {
            boolean confirmed =
                    task.run().filter(run -> run.phase == RunPhase.RUNNING).isPresent();
            done += task.done ? 1 : 0;
            running += !task.done && confirmed ? 1 : 0;
            unconfirmed += !task.done && !confirmed && !task.waiting() ? 1 : 0;
        }
        return "job=%s step=%s tasks=%d done=%d running=%d unconfirmed=%d waiting=%d"
                .formatted(
                        job.job.id(),
                        number(step),
                        step.tasks.size(),
                        done,
                        running,
                        unconfirmed,
                        step.waitingTasks().size());
    }

    private static String number(StepRow step) {
        return step.occurrence + "." + step.index;
    }
}
