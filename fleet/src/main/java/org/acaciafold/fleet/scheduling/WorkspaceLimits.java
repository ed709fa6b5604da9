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
     * @param step the step
     * @param tables the tables, with the resources that each workspace uses
     * @return the first tasks that stay within the limit, in order
     */
    static List<TaskRow> startable(StepRow step, Tables tables) {
        String name = step.job.job.workspace();
        Resources limit = tables.config.workspace(name).map(Workspace::limit).orElse(Resources.empty());
        Resources used = tables.usedByWorkspace.getOrDefault(name, Resources.empty());
        List<TaskRow> startable = new ArrayList<>();
        for (TaskRow task : step.waitingTasks()) {
            used = used.plus(step.spec.each());
            if (fits(used, limit)) {
                startable.add(task);
            }
        }
        return startable;
    }

    /** Returns whether used resources are within a limit, of which 0 means none. */
    private static boolean fits(Resources used, Resources limit) {
        return (limit.cpuMillis() == 0 || used.cpuMillis() <= limit.cpuMillis())
                && (limit.memoryMib() == 0 || used.memoryMib() <= limit.memoryMib())
                && (limit.accelerators() == 0 || used.accelerators() <= limit.accelerators());
    }
}
