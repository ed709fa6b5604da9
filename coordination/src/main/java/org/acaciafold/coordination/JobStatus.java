package org.acaciafold.coordination;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.WorkspaceId;

/**
 * The state of a job, as returned to callers.
 *
 * @param job the job
 * @param workspace its workspace
 * @param name the name of the job
 * @param home the slice whose owner starts its tasks
 * @param phase the phase of the job
 * @param waiting the number of waiting tasks
 * @param running the number of running tasks
 * @param succeeded the number of tasks that succeeded
 * @param failed the number of tasks that failed for good
 * @param problem the reason why the job cannot continue
 * @param results the results of tasks that returned one
 */
public record JobStatus(
        JobId job,
        WorkspaceId workspace,
        String name,
        SliceId home,
        JobPhase phase,
        int waiting,
        int running,
        int succeeded,
        int failed,
        Optional<String> problem,
        List<String> results) {}
