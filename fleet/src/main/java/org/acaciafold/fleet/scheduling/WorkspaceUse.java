package org.acaciafold.fleet.scheduling;

import org.acaciafold.core.model.Resources;

/**
 * How much of a workspace's use is known to be at work, counted anew from the runs on all workers.
 *
 * @param running runs that a worker that answers has listed
 * @param unconfirmed runs that no worker has listed yet, on workers that answer
 * @param silent runs on workers that do not answer
 * @param surplus what the account of the workspace has in addition; anything but nothing is an error in the account
 */
record WorkspaceUse(Resources running, Resources unconfirmed, Resources silent, Resources surplus) {
    /** Counts the runs of a workspace on all workers. */
    static WorkspaceUse of(String workspace, Tables tables) {
        Resources running = Resources.empty();
        Resources unconfirmed = Resources.empty();
        Resources silent = Resources.empty();
        for (WorkerRow worker : tables.workers.values()) {
            for (RunRow run : worker.runs.values()) {
                if (!run.task.step.job.job.workspace().equals(workspace)) {
                    continue;
                }
                if (!worker.answers()) {
                    silent = silent.plus(run.resources);
                } else if (run.phase == RunPhase.RUNNING) {
                    running = running.plus(run.resources);
                } else {
                    unconfirmed = unconfirmed.plus(run.resources);
                }
            }
        }
        Resources account = tables.usedByWorkspace.getOrDefault(workspace, Resources.empty());
        return new WorkspaceUse(
                running,
                unconfirmed,
                silent,
                account.minus(running).minus(unconfirmed).minus(silent));
    }
}
