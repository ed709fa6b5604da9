package org.acaciafold.core.placement;

import java.util.Optional;

/**
 * The progress of a job.
 *
 * @param waiting the number of tasks that wait
 * @param running the number of tasks that run or are being started or stopped
 * @param succeeded the number of tasks that succeeded
 * @param failed the number of tasks that failed permanently
 * @param problem why the job cannot continue; empty if it can
 */
public record JobProgress(int waiting, int running, int succeeded, int failed, Optional<String> problem) {}
