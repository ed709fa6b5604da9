package org.acaciafold.core.placement;

import java.util.Optional;

/**
 * How far a job has come.
 *
 * @param waiting tasks that wait
 * @param running tasks that run or are being started or stopped
 * @param succeeded tasks that succeeded
 * @param failed tasks that failed for good
 * @param problem why the job cannot go on, when it cannot
 */
public record JobProgress(int waiting, int running, int succeeded, int failed, Optional<String> problem) {}
