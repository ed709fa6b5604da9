package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.acaciafold.core.codec.Codec;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.Progress;
import org.acaciafold.fleet.StepProgress;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.platform.StoredRow;
import org.acaciafold.platform.Transaction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against records that are too long for a row: the store refuses them, and with them every job's start. */
class RowBoundsTest {
    private static final long SEED = 36;

    private static StoredRow row(String table, String key, byte[] value) {
        return new StoredRow(table, StoreRecords.SLICE, key, value, 1, false);
    }

    /** Returns claims of tasks of different jobs, whose identifiers do not compress well. */
    private static WorkerClaims claims(int count) {
        Random random = new Random(SEED);
        List<WorkerClaims.Claim> claims = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String job = "%016x".formatted(random.nextLong());
            claims.add(new WorkerClaims.Claim(
                    new TaskName(job, 0, random.nextInt(4), random.nextInt(40)), random.nextInt(5_000)));
        }
        return new WorkerClaims("w1", "10.0.0.1:8207", 1_773_095_468_438L, claims);
    }

    /** Returns the progress of a step of which each task has failed, and some have crashed their workers. */
    private static Progress progress(int tasks, int crashed) {
        Random random = new Random(SEED);
        BitSet done = new BitSet();
        IntStream.range(0, tasks).filter(i -> random.nextBoolean()).forEach(done::set);
        List<StepProgress.TaskFailures> failures = IntStream.range(0, tasks)
                .mapToObj(i -> new StepProgress.TaskFailures(i, List.of(1_001 + random.nextInt(3))))
                .toList();
        List<StepProgress.TaskCrashes> crashes = IntStream.range(0, crashed)
                .mapToObj(i -> new StepProgress.TaskCrashes(
                        i, 0, List.of(new StepProgress.Crash(1_001, random.nextInt(10_000), true, random.nextInt(40)))))
                .toList();
        StepProgress step = new StepProgress(0, 0, done.toByteArray(), failures, List.of(), crashes);
        return new Progress(JobState.RUNNING, List.of(step));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 1_000, 1_090, 1_400, WorkerClaims.MAX_CLAIMS - 1, WorkerClaims.MAX_CLAIMS})
    void shouldKeepTheClaimsOfAWorkerInARow(int count) {
        WorkerClaims claims = claims(count);
        byte[] value = StoreRecords.encode(claims, WorkerClaims.class);

        assertTrue(value.length <= Transaction.MAX_VALUE_BYTES, value.length + " bytes");
        assertEquals(
                claims,
                StoreRecords.decode(row(StoreRecords.WORKERS, "w1", value), WorkerClaims.class)
                        .orElseThrow());
    }

    /** The largest job has 10,000 tasks; crashes are recorded of 2,000 tasks of a step at the most. */
    @ParameterizedTest
    @ValueSource(ints = {1, 800, 1_150, 5_000, 10_000})
    void shouldKeepTheProgressOfAJobInARow(int tasks) {
        Progress progress = progress(tasks, Math.min(tasks, 2_000));
        byte[] value = StoreRecords.encode(progress);

        assertTrue(value.length <= Transaction.MAX_VALUE_BYTES, value.length + " bytes");
        Progress read = StoreRecords.decodeProgress(row(StoreRecords.PROGRESS, "j1", value))
                .orElseThrow();
        assertArrayEquals(
                progress.steps().getFirst().done(), read.steps().getFirst().done());
        assertEquals(
                progress.steps().getFirst().failures(), read.steps().getFirst().failures());
        assertEquals(
                progress.steps().getFirst().crashes(), read.steps().getFirst().crashes());
    }

    /** Hosts of earlier releases know no compressed values, and read all rows that they could have written. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 500, 700})
    void shouldWriteARecordAsEarlierReleasesDoWhenItFits(int count) {
        byte[] value = StoreRecords.encode(claims(count), WorkerClaims.class);

        assertArrayEquals(Codec.messagePack().encode(claims(count), WorkerClaims.class), value);
    }

    private static Stream<byte[]> damagedRecords() {
        byte[] value = StoreRecords.encode(claims(WorkerClaims.MAX_CLAIMS), WorkerClaims.class);
        byte[] altered = value.clone();
        altered[value.length / 2] ^= 0x55;
        return Stream.of(Arrays.copyOf(value, value.length / 2), Arrays.copyOf(value, 1), altered);
    }

    @ParameterizedTest
    @MethodSource("damagedRecords")
    void shouldIgnoreACompressedRecordWhenItIsDamaged(byte[] value) {
        RecordReader reader = new RecordReader(new MalformedRows(new HostMetrics()));

        assertTrue(reader.claims(row(StoreRecords.WORKERS, "w1", value)).isEmpty());
    }

    @Test
    void shouldCutATransactionBeforeItIsTooLong() {
        byte[] value = new byte[Transaction.MAX_VALUE_BYTES];
        List<Transaction.Write> writes = IntStream.range(0, 40)
                .mapToObj(i -> new Transaction.Write(StoreRecords.PROGRESS, "job-" + i, value))
                .toList();

        int fitting = StoreRecords.fitting(writes, Transaction.MAX_ENTRIES, StoreRecords.SLICE);

        long bytes = writes.stream()
                .limit(fitting)
                .mapToLong(write -> write.encodedBytes(StoreRecords.SLICE))
                .sum();
        assertTrue(fitting > 1 && bytes <= Transaction.MAX_ENCODED_BYTES, fitting + " rows, " + bytes + " bytes");
    }
}
