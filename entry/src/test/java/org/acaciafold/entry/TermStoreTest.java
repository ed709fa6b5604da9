package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.Progress;
import org.acaciafold.platform.Transaction;
import org.acaciafold.platform.TxReply;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TermStoreTest {
    private static final int MAX_ENTRIES = 100;
    private static final LeaseRecord LEASE = new LeaseRecord("a", "a:1", 1, 3, LeaseKeeper.LEASE_MS, false);

    private final List<Transaction> transactions = new ArrayList<>();
    private final ManualTimers timers = new ManualTimers();
    private int done;

    private Mono<TxReply> commit(Transaction transaction, long timeoutMs) {
        transactions.add(transaction);
        return Mono.just(new TxReply.Applied(10L + transactions.size()));
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

        TermStore.write(lease, new Effect.Save(1, progress, List.of(), List.of(), ended), row -> {}, () -> done++);

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
}
