package org.acaciafold.entry;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.acaciafold.fleet.EndedJob;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.Progress;
import org.acaciafold.platform.StoredRow;
import org.acaciafold.platform.Transaction;

/** Table names, partitions and encoding of the rows that acaciafold keeps in the platform's store. */
final class StoreRecords {
    /** Accepted jobs, by identifier, in the partition of the job. */
    static final String JOBS = "jobs";

    /** Cancellations, by the job's identifier, in a few partitions, since few jobs are cancelled. */
    static final String CANCELLATIONS = "cancellations";

    /** Progress of jobs, by identifier, in the partition of the slice. */
    static final String PROGRESS = "progress";

    /** Claims on each worker, by the worker's identifier, in the partition of the slice. */
    static final String WORKERS = "workers";

    /** The leader's lease, in the partition of the slice. */
    static final String LEASES = "leases";

    static final String LEASE_KEY = "leader";
    static final String SLICE = "slice-0";

    /**
     * The store applies the transactions of a partition one after the other, so jobs are spread over several
     * partitions. At a hundred jobs a second, each in a transaction of its own that takes a quarter of a second, a job
     * waits for less than a second.
     */
    private static final int JOB_PARTITIONS = 32;

    private static final int CANCELLATION_PARTITIONS = 4;

    /** Length of a state alone. */
    static final int STATE_BYTES = 1;

    /** Length of a state and a time; a complete job is always longer. */
    private static final int ENDED_BYTES = STATE_BYTES + Long.BYTES;

    /** More than the lease's condition and row, and the removals beside them, add to an encoded transaction. */
    private static final int LEASE_BYTES = 150_000;

    private static final String STORE = "store";

    private StoreRecords() {}

    /** Returns the partition of a job's row in a table that is keyed by job. */
    static String partitionOf(String table, String jobId) {
        return partition(table, Math.floorMod(jobId.hashCode(), partitionCount(table)));
    }

    /** Returns all partitions of a table that is keyed by job. */
    static List<String> partitions(String table) {
        return IntStream.range(0, partitionCount(table))
                .mapToObj(number -> partition(table, number))
                .toList();
    }

    private static String partition(String table, int number) {
        return table + "-" + number;
    }

    private static int partitionCount(String table) {
        return table.equals(JOBS) ? JOB_PARTITIONS : CANCELLATION_PARTITIONS;
    }

    /** Returns whether the store can hold a row of this key. */
    static boolean isKey(String key) {
        return !key.isEmpty() && key.getBytes(StandardCharsets.UTF_8).length <= Transaction.MAX_KEY_BYTES;
    }

    /** Returns how many writes, from the first on, one transaction can hold beside the lease. */
    static int fitting(List<Transaction.Write> writes, int maxRows, String partition) {
        int bytes = LEASE_BYTES;
        int count = 0;
        while (count < Math.min(maxRows, writes.size())) {
            bytes += writes.get(count).encodedBytes(partition);
            if (bytes > Transaction.MAX_ENCODED_BYTES && count > 0) {
                break;
            }
            count++;
        }
        return count;
    }

    /** Returns a transaction that writes the lease if its row still has the given version. */
    static Transaction.Builder leaseWrite(LeaseRecord lease, long version) {
        return Transaction.in(SLICE)
                .require(LEASES, LEASE_KEY, version)
                .write(LEASES, LEASE_KEY, encode(lease, LeaseRecord.class));
    }

    /** Encodes a record, compressed if it is too long for a row otherwise. */
    static <T> byte[] encode(T value, Class<T> type) {
        return RowCompression.compress(Codec.messagePack().encode(value, type));
    }

    /** Encodes progress, as one byte for an ended job, since most jobs that a new leader reads have ended. */
    static byte[] encode(Progress progress) {
        return progress.state().ended()
                ? new byte[] {(byte) progress.state().ordinal()}
                : encode(progress, Progress.class);
    }

    static Optional<Progress> decodeProgress(StoredRow row) {
        if (row.value().length == STATE_BYTES) {
            return endedState(row.value()[0]).map(state -> new Progress(state, List.of()));
        }
        return decode(row, Progress.class);
    }

    /** Encodes the short record that replaces the complete record of an ended job. */
    static byte[] encode(EndedJob ended) {
        return ByteBuffer.allocate(ENDED_BYTES)
                .put((byte) ended.state().ordinal())
                .putLong(ended.endedAtMs())
                .array();
    }

    /** Decodes the short record of an ended job; empty when the row holds a complete job. */
    static Optional<EndedJob> decodeEnded(StoredRow row) {
        if (row.value().length != ENDED_BYTES) {
            return Optional.empty();
        }
        ByteBuffer value = ByteBuffer.wrap(row.value());
        return endedState(value.get()).map(state -> new EndedJob(state, value.getLong()));
    }

    /** Decodes a record; empty when the row holds no record of this type. */
    static <T> Optional<T> decode(StoredRow row, Class<T> type) {
        try {
            return Optional.of(decodeValue(row, type));
        } catch (AcaciafoldException e) {
            return Optional.empty();
        }
    }

    /** Decodes a record, or tells why the row holds no record of this type. */
    static <T> T decodeValue(StoredRow row, Class<T> type) throws AcaciafoldException {
        try {
            byte[] value = RowCompression.decompress(row.value());
            return Codec.messagePack().decode(value, type, Step.TABLE, STORE);
        } catch (IOException e) {
            throw new AcaciafoldException(Failure.notRun(Step.TABLE, STORE, "malformed", e.getMessage()), e);
        }
    }

    /** Encodes the record of a cancellation: the time at which a host recorded it. */
    static byte[] encodeCancellation(long wallMs) {
        return ByteBuffer.allocate(Long.BYTES).putLong(wallMs).array();
    }

    /** Decodes the time of a cancellation; empty in rows of earlier releases, which hold none. */
    static Optional<Long> decodeCancellation(StoredRow row) {
        return row.value().length == Long.BYTES
                ? Optional.of(ByteBuffer.wrap(row.value()).getLong())
                : Optional.empty();
    }

    private static Optional<JobState> endedState(int ordinal) {
        JobState[] states = JobState.values();
        return ordinal >= 0 && ordinal < states.length && states[ordinal].ended()
                ? Optional.of(states[ordinal])
                : Optional.empty();
    }
}
