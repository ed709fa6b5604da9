package org.acaciafold.coordination;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.WorkspaceId;

/**
 * What is known of a job.
 *
 * @param job the job
 * @param workspace its workspace
 * @param name its name
 * @param home the slice whose owner starts its tasks
 * @param phase how far it is
 * @param waiting tasks that wait
 * @param running tasks that run
 * @param succeeded tasks that succeeded
 * @param failed tasks that failed for good
 * @param problem why it cannot go on
 * @param results the results of ended tasks, one each
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
