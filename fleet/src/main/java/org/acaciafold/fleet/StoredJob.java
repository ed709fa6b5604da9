package org.acaciafold.fleet;

import java.util.Optional;

/**
 * What the store holds of a job.
 *
 * @param job the accepted job
 * @param progress the progress recorded so far
 * @param cancelled true when its cancellation is recorded
 */
public record StoredJob(Job job, Optional<Progress> progress, boolean cancelled) {}
