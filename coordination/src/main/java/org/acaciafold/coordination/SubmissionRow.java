package org.acaciafold.coordination;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.WorkspaceId;

/**
 * The row that makes the submission of a job idempotent.
 *
 * @param job the job that was submitted under the key
 * @param home the slice in which the job was created
 * @param digest a digest of the submitted request
 */
record SubmissionRow(JobId job, SliceId home, long digest) {
    static String key(WorkspaceId workspace, String submissionKey) {
        return "submission/" + workspace.value() + '/' + submissionKey;
    }
}
