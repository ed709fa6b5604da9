package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Workspace;

/** Determines which tasks may start within the limits of their workspaces. */
final class WorkspaceLimits {
    private WorkspaceLimits() {}

    /**
     * Returns the waiting tasks of a step that its workspace may have running in addition.
     *
     * <p>While less than half of the limit is used, one task may exceed it, since a large task would otherwise wait for as
     * long as small ones run. The contract allows one task beyond the limit, counted at each start, so the workspace must
     * have no other runs that may still start.
     *
     * @param step the step
     * @param tables the tables, with the resources that each workspace uses
     * @return the first tasks that may start, in order
     */
    static List<TaskRow> startable(StepRow step, Tables tables) {
        String name = step.job.job.workspace();
        Resources limit = tables.config.workspace(name).map(Workspace::limit).orElse(Resources.empty());
        Resources used = tables.usedByWorkspace.getOrDefault(name, Resources.empty());
        if (tables.limitTurns.holdsBack(step, tables.nowMs)) {
            return List.of();
        }
        boolean underHalf = underHalf(used, limit);
        boolean unconfirmed = underHalf && tables.hasUnconfirmedRuns(name);
        boolean oneMore = underHalf && !unconfirmed;
        List<TaskRow> startable = new ArrayList<>();
        for (TaskRow task : step.waitingTasks()) {
            boolean mayExceed = oneMore && (startable.isEmpty() || step.spec.gang());
            Resources usedWith = used.plus(step.spec.each());
            if (!fits(usedWith, limit) && !(mayExceed && fits(used, limit))) {
                break;
            }
            startable.add(task);
            used = usedWith;
        }
        if (unconfirmed && startable.size() < together(step) && fits(usedByAllButOne(step, tables), limit)) {
            tables.limitTurns.request(step, tables.nowMs);
        }
        boolean stands = startable.isEmpty() && standsForSilentRuns(step, used, limit, tables);
        return stands ? firstBeyond(step, used, limit, tables) : startable;
    }

    /**
     * Returns whether a job has nothing at work although its workspace uses less than half of its limit on workers that
     * answer: the rest is held for runs on others, which most likely are lost.
     */
    private static boolean standsForSilentRuns(StepRow step, Resources used, Resources limit, Tables tables) {
        Resources silent = tables.silentUse(step.job.job.workspace());
        return !silent.equals(Resources.empty()) && underHalf(used.minus(silent), limit) && !step.job.atWork();
    }

    /**
     * Returns the first task of a step, or its whole gang, if all that may be at work stays within the limit and the
     * overage that the contract allows, silent runs included, since their workers may be cut off and go on.
     */
    private static List<TaskRow> firstBeyond(StepRow step, Resources used, Resources limit, Tables tables) {
        List<TaskRow> waiting = step.waitingTasks();
        int together = together(step);
        if (waiting.size() < together) {
            return List.of();
        }
        List<TaskRow> first = waiting.subList(0, together);
        Resources usedWith = used;
        for (int i = 0; i < first.size(); i++) {
            usedWith = usedWith.plus(step.spec.each());
        }
        return fits(usedWith, extended(limit, tables.limits.limitOverage())) ? first : List.of();
    }

    private static int together(StepRow step) {
        return step.spec.gang() ? step.spec.count() : 1;
    }

    /** Returns what a workspace uses once all tasks of a step but one have started that start together. */
    private static Resources usedByAllButOne(StepRow step, Tables tables) {
        Resources used = tables.usedByWorkspace.getOrDefault(step.job.job.workspace(), Resources.empty());
        return used.plus(step.spec.each().times(together(step) - 1L));
    }

    private static Resources extended(Resources limit, double overage) {
        return Resources.of(
                extended(limit.cpuMillis(), overage),
                extended(limit.memoryMib(), overage),
                extended(limit.accelerators(), overage));
    }

    private static long extended(long limit, double overage) {
        return limit + (long) Math.floor(limit * overage);
    }

    private static boolean underHalf(Resources used, Resources limit) {
        return (limit.cpuMillis() == 0 || 2 * used.cpuMillis() < limit.cpuMillis())
                && (limit.memoryMib() == 0 || 2 * used.memoryMib() < limit.memoryMib())
                && (limit.accelerators() == 0 || 2 * used.accelerators() < limit.accelerators());
    }

    /** Returns whether used resources are within a limit, of which 0 means none. */
    private static boolean fits(Resources used, Resources limit) {
        return (limit.cpuMillis() == 0 || used.cpuMillis() <= limit.cpuMillis())
                && (limit.memoryMib() == 0 || used.memoryMib() <= limit.memoryMib())
                && (limit.accelerators() == 0 || used.accelerators() <= limit.accelerators());
    }
}
