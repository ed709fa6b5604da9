package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.Progress;
import org.acaciafold.fleet.StepProgress;
import org.acaciafold.platform.Transaction;
import org.acaciafold.platform.TxReply;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class BatchWriterTest {
    private static final int MAX_ENTRIES = 100;
    private static final LeaseRecord LEASE = new LeaseRecord("a", "a:1", 1, 3, LeaseKeeper.LEASE_MS, false, 0, 0);

    private final List<Transaction> transactions = new ArrayList<>();
    private final ManualTimers timers = new ManualTimers();
    private final List<String> hidden = new ArrayList<>();
    private int done;

    private Mono<TxReply> commit(Transaction transaction, long timeoutMs) {
        transactions.add(transaction);
        return Mono.just(new TxReply.Applied(10L + transactions.size(), 0));
    }

    private Flux<String> hide(List<String> jobs) {
        assertEquals(List.of(), transactions);
        hidden.addAll(jobs);
        return Flux.fromIterable(jobs);
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "1, 0", "0, 1", "50, 60", "98, 2", "200, 150", "0, 250"})
    void shouldStayWithinTheStoresEntryLimitWhateverIsSaved(int jobs, int obsolete) {
        LeaseKeeper lease = new LeaseKeeper(
                this::commit,
                timers,
                new LeaseKeeper.LeaseWrite(LEASE, 10, timers.nowMs(), timers.wallMs()),
                reason -> {});
        Map<String, Progress> progress = new LinkedHashMap<>();
        for (int i = 0; i < jobs; i++) {
            progress.put("job-" + i, new Progress(JobState.COMPLETED, List.of()));
        }
        List<String> ended = new ArrayList<>();
        for (int i = 0; i < obsolete; i++) {
            ended.add("ended-" + i);
        }

        BatchWriter writer = new BatchWriter(lease, this::hide, row -> {}, batch -> done++);
        writer.write(new Effect.Save(1, progress, List.of(), List.of(), ended));

        assertEquals(1, done);
        Set<String> written = new HashSet<>();
        Set<String> removed = new HashSet<>();
        for (Transaction transaction : transactions) {
            assertTrue(transaction.size() <= MAX_ENTRIES, transaction.size() + " entries");
            transaction.writes().forEach(write -> written.add(write.key()));
            transaction.removals().forEach(removal -> removed.add(removal.key()));
        }
        written.remove(StoreRecords.LEASE_KEY);
        assertEquals(progress.keySet(), written);
        assertEquals(Set.copyOf(ended), removed);
    }

    /** Guards against an earlier release that takes over, cannot read a job's progress, and runs it from its start. */
    @ParameterizedTest
    @CsvSource({"1, 0", "600, 0", "700, 0", "2000, 1"})
    void shouldHideAJobFromEarlierReleasesBeforeItsProgressIsCompressed(int crashes, int expected) {
        LeaseKeeper lease = new LeaseKeeper(
                this::commit,
                timers,
                new LeaseKeeper.LeaseWrite(LEASE, 10, timers.nowMs(), timers.wallMs()),
                reason -> {});
        List<StepProgress.TaskCrashes> recorded = IntStream.range(0, crashes)
                .mapToObj(i -> new StepProgress.TaskCrashes(i, 0, List.of(new StepProgress.Crash(1, i, true, 3))))
                .toList();
        StepProgress step = new StepProgress(0, 0, new byte[0], List.of(), List.of(), recorded);
        BatchWriter writer = new BatchWriter(lease, this::hide, row -> {}, batch -> done++);

        writer.write(new Effect.Save(
                1, Map.of("job", new Progress(JobState.RUNNING, List.of(step))), List.of(), List.of(), List.of()));

        assertEquals(expected, hidden.size());
        assertEquals(1, done);
    }
}
