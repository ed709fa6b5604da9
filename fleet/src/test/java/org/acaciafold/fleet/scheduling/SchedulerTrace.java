package org.acaciafold.fleet.scheduling;

import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.Resources;

/** Describes what a scheduler believes of a job and of the workers, for the messages of failed checks. */
public final class SchedulerTrace {
    private SchedulerTrace() {}

    /**
     * Describes a job with its steps and tasks, and all workers.
     *
     * @param scheduler the scheduler
     * @param id the job
     * @return a text of some lines
     */
    public static String of(Scheduler scheduler, String id) {
        Tables tables = tables(scheduler);
        StringBuilder text = new StringBuilder(
                "\n  now=" + tables.nowMs + " saving=" + tables.saving + " used=" + tables.usedByWorkspace);
        JobRow job = tables.jobs.get(id);
        if (job == null) {
            return text + " job unknown, ended=" + tables.endedJobs.get(id);
        }
        String service = job.job.route().service();
        text.append(" share=")
                .append(FleetUtilization.of(tables.workers.values()).usedShare(service));
        text.append("\n  job ").append(id).append(' ').append(job.state);
        job.steps.forEach(step -> describe(tables, step, text));
        tables.workers.values().forEach(worker -> describe(tables, worker, text));
        text.append("\n  queue:");
        QueueOrder.readySteps(tables).stream().limit(8).forEach(entry -> describe(entry, text));
        return text.toString();
    }

    /** Returns why the first step of a job waits. */
    static WaitReason waitReason(Scheduler scheduler, String job) {
        return tables(scheduler).jobs.get(job).steps.getFirst().waitReason;
    }

    /** Returns what a workspace uses, by what is known of its runs. */
    static WorkspaceUse use(Scheduler scheduler, String workspace) {
        return WorkspaceUse.of(workspace, tables(scheduler));
    }

    /** Returns how the accounts of workspaces and workers differ from the sums of the runs; empty when they are right. */
    public static List<String> accountErrors(Scheduler scheduler) {
        Tables tables = tables(scheduler);
        List<String> errors = new ArrayList<>();
        for (String workspace : tables.usedByWorkspace.keySet()) {
            WorkspaceUse use = WorkspaceUse.of(workspace, tables);
            if (!use.surplus().equals(Resources.empty())) {
                errors.add(" workspace " + workspace + " " + use);
            }
        }
        for (WorkerRow worker : tables.workers.values()) {
            Resources sum = Resources.empty();
            for (RunRow run : worker.runs.values()) {
                sum = sum.plus(run.resources);
            }
            if (!sum.equals(worker.used)) {
                errors.add(" worker " + worker.id + " uses " + worker.used + ", its runs " + sum);
            }
        }
        return errors;
    }

    private static void describe(Tables tables, StepRow step, StringBuilder text) {
        text.append("\n  step ").append(step.index).append(" remaining=").append(step.remaining);
        text.append(" ready=").append(step.ready()).append(" since=").append(step.readyAtMs);
        text.append(" reason=").append(step.waitReason);
        text.append(" advice: inFlight=").append(step.adviceInFlight).append(" after=");
        text.append(step.adviceAfterMs - tables.nowMs).append(" waits=").append(step.waitsForCapacity);
        text.append(" allowed=").append(step.allowed).append(" denied=").append(step.denied);
        text.append(" tickets=").append(step.tickets).append(" reserved=").append(step.reserved);
        for (TaskRow task : step.tasks) {
            text.append("\n    task ").append(task.index).append(" done=").append(task.done);
            text.append(" failed=").append(task.failedRuns).append(" on=").append(task.failedOn);
            task.run().ifPresent(run -> describe(run, text));
        }
    }

    private static void describe(RunRow run, StringBuilder text) {
        text.append(" [run ").append(run.number).append(' ').append(run.phase);
        text.append(" on ")
                .append(run.worker.id)
                .append(" stop=")
                .append(run.stopReason())
                .append(']');
    }

    private static void describe(Tables tables, WorkerRow worker, StringBuilder text) {
        text.append("\n  worker ").append(worker.id).append('@').append(worker.address());
        text.append(" registered=").append(worker.registered).append(" missed=").append(worker.missedRenewals);
        text.append(" suspect=").append(worker.suspect).append(" contactAge=");
        text.append(tables.nowMs - worker.lastContactAtMs).append(" paused=");
        text.append(Math.max(0, worker.pausedUntilMs - tables.nowMs)).append(" refused=");
        text.append(Math.max(0, worker.refusedUntilMs - tables.nowMs)).append(" unreconciled=");
        text.append(tables.unreconciled.contains(worker)).append(" runs=").append(worker.runs.size());
        text.append(" used=").append(worker.used.cpuMillis()).append(' ');
        worker.entry()
                .ifPresent(entry -> text.append(entry.service())
                        .append(entry.labels())
                        .append(entry.capacity().cpuMillis())
                        .append(entry.draining() ? " draining" : ""));
    }

    private static void describe(QueueOrder.Entry entry, StringBuilder text) {
        StepRow step = entry.step();
        text.append("\n    ")
                .append(entry.rank())
                .append(' ')
                .append(step.name())
                .append(" x");
        text.append(step.spec.count()).append(" of ").append(step.spec.each().cpuMillis());
        text.append(step.spec.gang() ? " gang" : "").append(step.spec.longRunning() ? " lasting" : "");
    }

    private static Tables tables(Scheduler scheduler) {
        try {
            Field field = Scheduler.class.getDeclaredField("tables");
            field.setAccessible(true);
            return (Tables) field.get(scheduler);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
