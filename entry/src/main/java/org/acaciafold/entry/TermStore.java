package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.EndedJob;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.Progress;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.platform.RowPage;
import org.acaciafold.platform.StoredRow;
import org.acaciafold.platform.Transaction;
import org.acaciafold.platform.TxReply;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Reads the records of the slice when a term begins, and writes progress during the term. */
final class TermStore {
    /** Keeps a transaction, together with the lease row, below the store's limit of 100 entries. */
    private static final int ROWS_PER_TRANSACTION = 90;

    /** Keeps a transaction below the same limit with up to two rows for each job. */
    private static final int JOBS_PER_TRANSACTION = 45;

    private final StoreAccess store;
    private final RecordReader records;

    TermStore(StoreAccess store, RecordReader records) {
        this.store = store;
        this.records = records;
    }

    /**
     * Reads the records of earlier terms.
     *
     * @param nowMs the wall clock, in milliseconds since 1970
     * @return all records
     */
    Mono<Loaded> load(long nowMs) {
        return Mono.zip(
                        store.readJobTable(StoreRecords.JOBS),
                        store.readJobTable(StoreRecords.CANCELLATIONS),
                        store.readAll(StoreRecords.PROGRESS, StoreRecords.SLICE),
                        store.readAll(StoreRecords.WORKERS, StoreRecords.SLICE))
                .map(pages -> loaded(pages.getT1(), pages.getT2(), pages.getT3(), pages.getT4(), nowMs));
    }

    /**
     * Writes the records of a batch.
     *
     * @param lease the lease, without which nothing is written
     * @param save the batch
     * @param onRefused receives each row that the store will never take
     * @param then runs once all other rows are written
     */
    static void write(LeaseKeeper lease, Effect.Save save, Consumer<Transaction.Write> onRefused, Runnable then) {
        List<Transaction.Write> writes = new ArrayList<>();
        save.progress()
                .forEach((id, progress) ->
                        writes.add(new Transaction.Write(StoreRecords.PROGRESS, id, StoreRecords.encode(progress))));
        save.claims()
                .forEach(worker -> writes.add(new Transaction.Write(
                        StoreRecords.WORKERS, worker.id(), StoreRecords.encode(worker, WorkerClaims.class))));
        List<Transaction.Removal> removals = Stream.concat(
                        save.removedWorkers().stream()
                                .map(worker -> new Transaction.Removal(StoreRecords.WORKERS, worker)),
                        save.obsoleteProgress().stream()
                                .map(job -> new Transaction.Removal(StoreRecords.PROGRESS, job)))
                .toList();
        write(lease, writes, removals, onRefused, then);
    }

    /**
     * Replaces the full records of ended jobs by short ones.
     *
     * <p>A cancellation is kept as long as the short record: a new leader that has read the full record of a job must
     * find its cancellation as well.
     *
     * @param jobs the short record of each job
     * @return the jobs whose records are replaced, transaction by transaction; those that failed are left out
     */
    Flux<Set<String>> retire(Map<String, EndedJob> jobs) {
        return commitByPartition(
                StoreRecords.JOBS,
                jobs.keySet(),
                (transaction, id) -> transaction.write(StoreRecords.JOBS, id, StoreRecords.encode(jobs.get(id))));
    }

    /**
     * Removes the short records of ended jobs.
     *
     * @param jobs the short record of each job
     * @return the jobs whose records are removed, transaction by transaction; those that failed are left out
     */
    Flux<Set<String>> remove(Map<String, EndedJob> jobs) {
        List<String> cancelled = jobs.keySet().stream()
                .filter(id -> jobs.get(id).state() == JobState.CANCELLED)
                .toList();
        Flux<Set<String>> cancellations = commitByPartition(
                StoreRecords.CANCELLATIONS,
                cancelled,
                (transaction, id) -> transaction.remove(StoreRecords.CANCELLATIONS, id));
        Flux<Set<String>> records = commitByPartition(
                StoreRecords.JOBS, jobs.keySet(), (transaction, id) -> transaction.remove(StoreRecords.JOBS, id));
        // the short record contains the state CANCELLED, so the cancellation can be removed first
        return Flux.concat(cancellations.thenMany(Flux.empty()), records);
    }

    private Flux<Set<String>> commitByPartition(
            String table, Collection<String> ids, BiConsumer<Transaction.Builder, String> add) {
        Map<String, List<String>> byPartition = new TreeMap<>();
        ids.forEach(id -> byPartition
                .computeIfAbsent(StoreRecords.partitionOf(table, id), name -> new ArrayList<>())
                .add(id));
        List<Mono<Set<String>>> calls = new ArrayList<>();
        byPartition.forEach((partition, partitionIds) -> {
            for (int from = 0; from < partitionIds.size(); from += JOBS_PER_TRANSACTION) {
                List<String> batch =
                        partitionIds.subList(from, Math.min(partitionIds.size(), from + JOBS_PER_TRANSACTION));
                Transaction.Builder transaction = Transaction.in(partition);
                batch.forEach(id -> add.accept(transaction, id));
                calls.add(store.commit(transaction.build())
                        .filter(TxReply.Applied.class::isInstance)
                        .map(applied -> Set.copyOf(batch)));
            }
        });
        return Flux.concat(calls);
    }

    private static void write(
            LeaseKeeper lease,
            List<Transaction.Write> writes,
            List<Transaction.Removal> removals,
            Consumer<Transaction.Write> onRefused,
            Runnable then) {
        int written = StoreRecords.fitting(writes, ROWS_PER_TRANSACTION, StoreRecords.SLICE);
        int removed = Math.min(ROWS_PER_TRANSACTION - written, removals.size());
        List<Transaction.Write> writesLeft = writes.subList(written, writes.size());
        List<Transaction.Removal> removalsLeft = removals.subList(removed, removals.size());
        boolean last = writesLeft.isEmpty() && removalsLeft.isEmpty();
        Runnable next = last ? then : () -> write(lease, writesLeft, removalsLeft, onRefused, then);
        lease.commit(writes.subList(0, written), removals.subList(0, removed), onRefused, next);
    }

    private Loaded loaded(RowPage jobs, RowPage cancellations, RowPage progress, RowPage workers, long nowMs) {
        Set<String> cancelled = new HashSet<>();
        cancellations.rows().forEach(row -> cancelled.add(row.key()));
        Map<String, Progress> byJob = new HashMap<>();
        Map<String, EndedJob> ended = new HashMap<>();
        Set<String> awaitingRetirement = new HashSet<>();
        for (StoredRow row : progress.rows()) {
            records.progress(row).ifPresent(value -> {
                if (value.state().ended()) {
                    ended.put(row.key(), new EndedJob(value.state(), nowMs));
                    awaitingRetirement.add(row.key());
                } else {
                    byJob.put(row.key(), value);
                }
            });
        }
        List<StoredJob> stored = new ArrayList<>();
        for (StoredRow row : jobs.rows()) {
            Optional<EndedJob> endedJob = StoreRecords.decodeEnded(row);
            if (endedJob.isPresent()) {
                ended.put(row.key(), endedJob.get());
                awaitingRetirement.remove(row.key());
            } else if (!ended.containsKey(row.key())) {
                records.job(row)
                        .ifPresent(job -> stored.add(new StoredJob(
                                job, Optional.ofNullable(byJob.get(job.id())), cancelled.contains(job.id()))));
            }
        }
        List<WorkerClaims> claims = new ArrayList<>();
        workers.rows().forEach(row -> records.claims(row).ifPresent(claims::add));
        return new Loaded(stored, ended, awaitingRetirement, claims, jobs.version(), cancellations.version());
    }

    /**
     * The records of earlier terms.
     *
     * @param jobs the jobs that have not ended
     * @param ended the final state and the end time of each ended job
     * @param awaitingRetirement the ended jobs whose full records still exist
     * @param workers the claims of the workers on which runs may exist
     * @param jobsVersion the version after which to read changes of the jobs table
     * @param cancellationsVersion the version after which to read changes of the cancellations table
     */
    record Loaded(
            List<StoredJob> jobs,
            Map<String, EndedJob> ended,
            Set<String> awaitingRetirement,
            List<WorkerClaims> workers,
            long jobsVersion,
            long cancellationsVersion) {}
}
