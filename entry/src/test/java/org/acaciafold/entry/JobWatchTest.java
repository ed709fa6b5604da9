package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.Route;
import org.acaciafold.fleet.StepSpec;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.platform.RowChanges;
import org.acaciafold.platform.StoredRow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a lost cancellation: the watch reads jobs and cancellations one after the other, not at one moment. */
class JobWatchTest {
    /** A cancelled task must have stopped within this time. */
    private static final long CANCEL_MS = 3_000;

    private static final long STEP_MS = 100;

    private final ManualTimers timers = new ManualTimers();
    private final VersionedStore store = new VersionedStore();
    private final Set<String> accepted = new HashSet<>();
    private final Set<String> cancelled = new HashSet<>();
    private TermStore.Loaded reloaded;

    private final JobWatch watch = new JobWatch(
            timers,
            store,
            new RecordReader(new MalformedRows(new HostMetrics())),
            () -> Mono.just(reloaded),
            jobs -> jobs.forEach(job -> accepted.add(job.id())),
            this::cancel);

    /** Ignores the cancellation of a job that is not known, which the scheduler keeps, so that the order of reads counts. */
    private void cancel(String job) {
        if (accepted.contains(job)) {
            cancelled.add(job);
        }
    }

    static Job job(String id) {
        Route route = new Route("holds", "h", "/", "catalogue", 0, 3, 2, 1_000, Optional.empty(), false);
        StepSpec step = StepSpec.builder().each(Resources.of(500, 100, 0)).build();
        return new Job(id, route, "north", "", List.of(step), 0, 0, 0, 1);
    }

    private void submitAndCancel(String job) {
        store.write(StoreRecords.JOBS, job, StoreRecords.encode(job(job), Job.class));
        store.write(StoreRecords.CANCELLATIONS, job, new byte[] {1});
    }

    private void pollUntilCancellationsAreDue() {
        for (long ms = 0; ms < CANCEL_MS; ms += STEP_MS) {
            timers.advance(STEP_MS);
        }
    }

    private static TermStore.Loaded loaded(List<StoredJob> jobs, long jobsVersion, long cancellationsVersion) {
        return new TermStore.Loaded(
                jobs, Map.of(), Set.of(), Map.of(), List.of(), jobsVersion, cancellationsVersion, 0);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4})
    void shouldCancelAJobWhenItIsAcceptedAndCancelledBeforeTheGivenRead(int read) {
        store.beforeRead(read, () -> submitAndCancel("j1"));

        watch.start(loaded(List.of(), 0, 0));
        pollUntilCancellationsAreDue();

        assertEquals(Set.of("j1"), cancelled);
    }

    @Test
    void shouldCancelAJobWhenTheReadAfterThatOfItsCancellationFails() {
        store.beforeRead(1, () -> submitAndCancel("j1"));
        store.failedReads.add(2);

        watch.start(loaded(List.of(), 0, 0));
        pollUntilCancellationsAreDue();

        assertEquals(Set.of("j1"), cancelled);
    }

    @Test
    void shouldCancelAJobWhenTheTermHasReadItsCancellationButNotTheJob() {
        long jobsVersion = store.version;
        submitAndCancel("j1");

        watch.start(loaded(List.of(), jobsVersion, store.version));
        pollUntilCancellationsAreDue();

        assertEquals(Set.of("j1"), cancelled);
    }

    @Test
    void shouldCancelAJobWhenAReloadHasReadItsCancellationButNotTheJob() {
        reloaded = loaded(List.of(new StoredJob(job("j0"), Optional.empty(), true)), store.version, store.version + 2);
        store.historyLost = true;
        store.beforeRead(2, () -> submitAndCancel("j1"));

        watch.start(loaded(List.of(), 0, 0));
        pollUntilCancellationsAreDue();

        assertEquals(Set.of("j0", "j1"), cancelled);
    }

    /** A store that can change, fail or lose its history before a read. */
    private static final class VersionedStore implements JobWatch.Feed {
        private final List<StoredRow> rows = new ArrayList<>();
        private final Set<Integer> failedReads = new HashSet<>();
        private long version = 10;
        private int reads;
        private int changeBeforeRead;
        private Runnable change = () -> {};
        private boolean historyLost;

        private void beforeRead(int read, Runnable then) {
            changeBeforeRead = read;
            change = then;
        }

        private void write(String table, String key, byte[] value) {
            version++;
            rows.add(new StoredRow(table, StoreRecords.partitionOf(table, key), key, value, version, false));
        }

        @Override
        public Mono<RowChanges> changes(String table, long after, long waitMs) {
            reads++;
            if (reads == changeBeforeRead) {
                change.run();
            }
            if (failedReads.contains(reads)) {
                return Mono.error(new IllegalStateException("the store does not answer"));
            }
            if (historyLost) {
                historyLost = false;
                return Mono.just(new RowChanges(List.of(), after, true));
            }
            List<StoredRow> changed = rows.stream()
                    .filter(row -> row.table().equals(table) && row.version() > after)
                    .toList();
            return Mono.just(new RowChanges(changed, version, false));
        }
    }
}
