package org.acaciafold.fleet;

import java.util.Comparator;
import java.util.Optional;

/**
 * A job with its records in the store.
 *
 * @param job the accepted job
 * @param progress the progress recorded so far; empty when none is recorded
 * @param cancelled true when the cancellation of the job is recorded
 */
public record StoredJob(Job job, Optional<Progress> progress, boolean cancelled) {
    /** Orders jobs by their acceptance, the first one first. */
    public static final Comparator<StoredJob> BY_ACCEPTANCE =
            Comparator.comparingLong(stored -> stored.job.acceptedAtMs());
}
