package org.acaciafold.entry;

import java.util.Optional;
import java.util.function.Function;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.Progress;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.platform.StoredRow;

/**
 * Decodes the records that acaciafold keeps in the platform's store.
 *
 * <p>Other programs can write there, too. A row that holds no valid record is reported and ignored; it never fails the
 * read of the others.
 */
final class RecordReader {
    /** Workers reject the orders of lower epochs than they have seen, so a host that knows none skips ahead. */
    private static final long EPOCH_ABOVE_ALL_EARLIER = 1_000_000;

    private final MalformedRows malformed;

    RecordReader(MalformedRows malformed) {
        this.malformed = malformed;
    }

    /** Decodes the complete record of a job that can be scheduled. */
    Optional<Job> job(StoredRow row) {
        return decode(
                row, Job.class, job -> job.id().equals(row.key()) ? job.invalidReason() : Optional.of("another job"));
    }

    Optional<Progress> progress(StoredRow row) {
        if (row.value().length == StoreRecords.STATE_BYTES) {
            Optional<Progress> ended = StoreRecords.decodeProgress(row);
            if (ended.isEmpty()) {
                malformed.report(row, "no known state");
            }
            return ended;
        }
        return decode(row, Progress.class, progress -> Optional.empty());
    }

    Optional<WorkerClaims> claims(StoredRow row) {
        return decode(
                row,
                WorkerClaims.class,
                claims -> claims.id().equals(row.key()) ? Optional.empty() : Optional.of("another worker"));
    }

    /**
     * Decodes the lease.
     *
     * @param row the row that holds it
     * @param latest the latest lease that this host has seen, null for none
     * @return the lease; for a malformed row, one that some host may still hold
     */
    LeaseRecord lease(StoredRow row, LeaseRecord latest) {
        return decode(row, LeaseRecord.class, lease -> Optional.empty()).orElseGet(() -> {
            long epoch = latest == null ? EPOCH_ABOVE_ALL_EARLIER : latest.epoch();
            long token = latest == null ? 0 : latest.fencingToken();
            return new LeaseRecord("unknown", "", 0, epoch, LeaseKeeper.SLOW_LEASE_MS, false, 0, token);
        });
    }

    private <T> Optional<T> decode(StoredRow row, Class<T> type, Function<T, Optional<String>> problem) {
        try {
            T value = StoreRecords.decodeValue(row, type);
            Optional<String> found = problem.apply(value);
            found.ifPresent(reason -> malformed.report(row, reason));
            return found.isEmpty() ? Optional.of(value) : Optional.empty();
        } catch (AcaciafoldException e) {
            malformed.report(row, e.failure().message());
            return Optional.empty();
        }
    }
}
