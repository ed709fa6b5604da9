package org.acaciafold.entry;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.EndedJob;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.Progress;
import org.acaciafold.fleet.Route;
import org.acaciafold.fleet.StepProgress;
import org.acaciafold.fleet.StepSpec;
import org.acaciafold.fleet.TaskName;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.platform.StoredRow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a record of another writer that fails the read of all records. */
class RecordReaderTest {
    private static final String COUNTED = "acaciafold_rows_ignored_total{table=\"jobs\"} ";

    private final HostMetrics metrics = new HostMetrics();
    private final RecordReader reader = new RecordReader(new MalformedRows(metrics));

    private static StoredRow row(String key, byte[] value) {
        return new StoredRow(StoreRecords.JOBS, "jobs-0", key, value, 1, false);
    }

    private static Job job(String id, List<Integer> after) {
        Route route = new Route("holds", "h", "/", "catalogue", 0, 3, 2, 1_000, Optional.empty(), false);
        StepSpec step =
                StepSpec.builder().each(Resources.of(500, 100, 0)).after(after).build();
        return new Job(id, route, "north", "", List.of(step), 0, 0, 0, 1);
    }

    private static WorkerClaims claims(String id) {
        return new WorkerClaims(id, "10.0.0.1:80", 7, List.of(new WorkerClaims.Claim(new TaskName("j1", 0, 0, 0), 1)));
    }

    private static Progress progress() {
        List<StepProgress.TaskFailures> failures = List.of(new StepProgress.TaskFailures(0, List.of(1)));
        return new Progress(
                JobState.RUNNING, List.of(new StepProgress(0, 0, new byte[] {1}, failures, List.of(), List.of())));
    }

    private void decodeAll(byte[] value) {
        StoredRow row = row("j1", value);
        StoreRecords.decodeEnded(row);
        StoreRecords.decodeProgress(row);
        reader.job(row);
        reader.progress(row);
        reader.claims(row);
        StoreRecords.decode(row, LeaseRecord.class);
    }

    @Property(tries = 2_000, seed = "21")
    void shouldFailNoReadWhenAValueIsRandom(@ForAll @Size(max = 24) byte[] value) {
        decodeAll(value);
    }

    @Property(tries = 3_000, seed = "22")
    void shouldFailNoReadWhenARecordIsAltered(@ForAll @IntRange(min = 0) int seed) {
        Random random = new Random(seed);
        List<byte[]> records = List.of(
                StoreRecords.encode(job("j1", List.of()), Job.class),
                StoreRecords.encode(claims("j1"), WorkerClaims.class),
                StoreRecords.encode(progress(), Progress.class),
                StoreRecords.encode(new EndedJob(JobState.FAILED, 5)));
        byte[] value = records.get(random.nextInt(records.size())).clone();
        for (int i = 0; i <= random.nextInt(3); i++) {
            value[random.nextInt(value.length)] = (byte) random.nextInt();
        }

        decodeAll(random.nextBoolean() ? value : Arrays.copyOf(value, random.nextInt(value.length + 1)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "05", "7f", "80", "ff", "00", "01", "c0", "c1"})
    void shouldReturnNoProgressWhenTheStateIsNoFinalOne(String hex) {
        assertEquals(Optional.empty(), reader.progress(row("j1", HexFormat.of().parseHex(hex))));
    }

    @ParameterizedTest
    @ValueSource(strings = {"7f", "ff", "00", "01"})
    void shouldReturnNoEndedJobWhenTheStateIsNoFinalOne(String hex) {
        byte[] value = Arrays.copyOf(HexFormat.of().parseHex(hex), 1 + Long.BYTES);

        assertEquals(Optional.empty(), StoreRecords.decodeEnded(row("j1", value)));
    }

    @Test
    void shouldReturnNoJobWhenItIsStoredUnderAnotherKeyOrCannotBeScheduled() {
        byte[] valid = StoreRecords.encode(job("j1", List.of()), Job.class);
        byte[] invalid = StoreRecords.encode(job("j1", List.of(5)), Job.class);

        assertTrue(reader.job(row("j1", valid)).isPresent());
        assertEquals(Optional.empty(), reader.job(row("j2", valid)));
        assertEquals(Optional.empty(), reader.job(row("j1", invalid)));
    }

    @Test
    void shouldReturnNoClaimsWhenTheyAreThoseOfAnotherWorker() {
        byte[] value = StoreRecords.encode(claims("w1"), WorkerClaims.class);

        assertTrue(reader.claims(row("w1", value)).isPresent());
        assertEquals(Optional.empty(), reader.claims(row("w2", value)));
    }

    /** Guards against claims that a leader of another release cannot read, so that a task would run twice. */
    @Test
    void shouldReadClaimsOfAnEarlierReleaseAndWriteClaimsThatItReads() {
        EarlierClaims earlier =
                new EarlierClaims("w1", "10.0.0.1:80", 7, claims("w1").claims());
        WorkerClaims silent = new WorkerClaims(
                "w1", "10.0.0.1:80", 7, earlier.claims, Optional.of(new WorkerClaims.Silence(3, 90_000)), 91_000);
        byte[] earlierRow = StoreRecords.encode(earlier, EarlierClaims.class);
        byte[] silentRow = StoreRecords.encode(silent, WorkerClaims.class);

        assertEquals(Optional.of(claims("w1")), reader.claims(row("w1", earlierRow)));
        assertEquals(Optional.of(silent), reader.claims(row("w1", silentRow)));
        assertEquals(Optional.of(earlier), StoreRecords.decode(row("w1", silentRow), EarlierClaims.class));
    }

    /** Guards against a lease of another release that cannot be read, or whose end is taken for known. */
    @Test
    void shouldReadALeaseOfAnEarlierReleaseAndWriteLeasesThatItReads() {
        EarlierLease earlier = new EarlierLease("a", "a:1", 7, 3, 800, false);
        LeaseRecord lease = new LeaseRecord("a", "a:1", 7, 3, 800, false, 5_800, 0);
        byte[] earlierRow = StoreRecords.encode(earlier, EarlierLease.class);
        byte[] row = StoreRecords.encode(lease, LeaseRecord.class);

        assertEquals(0, reader.lease(row("leader", earlierRow), null).endsAtStoreMs());
        assertEquals(5_800, reader.lease(row("leader", row), null).endsAtStoreMs());
        assertEquals(Optional.of(earlier), StoreRecords.decode(row("leader", row), EarlierLease.class));
        assertEquals(4, reader.lease(row("leader", earlierRow), null).nextEpoch());
    }

    @Test
    void shouldCountARowOnceHoweverOftenItIsRead() {
        for (int i = 0; i < 5; i++) {
            reader.job(row("j1", new byte[] {1, 2}));
            reader.job(row("j2", new byte[] {1, 2}));
        }

        assertTrue(metrics.scrape().contains(COUNTED + "2.0"), metrics.scrape());
    }

    /** The lease before it said when it was sent. */
    private record EarlierLease(String host, String address, long life, long epoch, long leaseMs, boolean released) {}

    /** The record of a worker before it said whether the worker is silent. */
    private record EarlierClaims(String id, String address, long bornMs, List<WorkerClaims.Claim> claims) {}
}
