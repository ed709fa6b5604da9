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

/** Reads the records of the slice when a term begins, and replaces and removes those of ended jobs. */
final class TermStore {
    /** Keeps a transaction below the store's limit of 100 entries with up to two rows for each job. */
    private static final int JOBS_PER_TRANSACTION = 45;

    private final StoreAccess store;
    private final RecordReader records;
    /** Jobs whose records hosts of earlier releases cannot read. */
    private final Set<String> hidden = new HashSet<>();

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
     * Compresses the records of jobs whose progress hosts of earlier releases cannot read. Such a host leaves the job
     * alone while it leads; otherwise it would run the job from its start.
     *
     * @param jobs the jobs
     * @return the jobs whose records have been compressed now
     */
    Flux<String> hideFromEarlierReleases(List<String> jobs) {
        return Flux.fromIterable(jobs).filter(job -> !hidden.contains(job)).concatMap(this::hide);
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
        Flux<Set<String>> cancellations = removeCancellations(cancelled);
        Flux<Set<String>> records = commitByPartition(
                StoreRecords.JOBS, jobs.keySet(), (transaction, id) -> transaction.remove(StoreRecords.JOBS, id));
        // the short record contains the state CANCELLED, so the cancellation can be removed first
        return Flux.concat(cancellations.thenMany(Flux.empty()), records);
    }

    /**
     * Removes the records of cancellations.
     *
     * @param jobs the jobs that they name
     * @return the jobs whose cancellations are removed, transaction by transaction; those that failed are left out
     */
    Flux<Set<String>> removeCancellations(Collection<String> jobs) {
        return commitByPartition(
                StoreRecords.CANCELLATIONS,
                jobs,
                (transaction, id) -> transaction.remove(StoreRecords.CANCELLATIONS, id));
    }

    private Mono<String> hide(String job) {
        String partition = StoreRecords.partitionOf(StoreRecords.JOBS, job);
        return store.readOne(StoreRecords.JOBS, partition, job)
                .flatMap(row ->
                        row.isEmpty() || RowCompression.compressed(row.get().value())
                                ? Mono.just(true)
                                : compressJob(partition, row.get()))
                .filter(done -> done)
                .map(done -> job)
                .doOnNext(hidden::add);
    }

    /** Compresses a job's record; the result is true once no host of an earlier release reads it. */
    private Mono<Boolean> compressJob(String partition, StoredRow row) {
        return store.commit(Transaction.in(partition)
                        .require(StoreRecords.JOBS, row.key(), row.version())
                        .write(StoreRecords.JOBS, row.key(), RowCompression.compressAlways(row.value()))
                        .build())
                .map(TxReply.Applied.class::isInstance);
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

    private Loaded loaded(RowPage jobs, RowPage cancellations, RowPage progress, RowPage workers, long nowMs) {
        Map<String, Long> cancelled = new HashMap<>();
        cancellations
                .rows()
                .forEach(row -> cancelled.put(
                        row.key(), StoreRecords.decodeCancellation(row).orElse(nowMs)));
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
                                job, Optional.ofNullable(byJob.get(job.id())), cancelled.containsKey(job.id()))));
            }
        }
        Map<String, Long> unmatched = new HashMap<>(cancelled);
        stored.forEach(job -> unmatched.remove(job.job().id()));
        List<WorkerClaims> claims = new ArrayList<>();
        workers.rows().forEach(row -> records.claims(row).ifPresent(claims::add));
        return new Loaded(
                stored,
                ended,
                awaitingRetirement,
                unmatched,
                claims,
                jobs.version(),
                cancellations.version(),
                workers.storeMs());
    }

    /**
     * The records of earlier terms.
     *
     * @param jobs the jobs that have not ended
     * @param ended the final state and the end time of each ended job
     * @param awaitingRetirement the ended jobs whose full records still exist
     * @param unmatchedCancellations when each cancellation of no job in {@code jobs} was recorded, in milliseconds since
     *     1970
     * @param workers the claims of the workers on which runs may exist
     * @param jobsVersion the version after which to read changes of the jobs table
     * @param cancellationsVersion the version after which to read changes of the cancellations table
     * @param storeMs what the store's clock showed when the claims were read, in milliseconds; 0 when unknown
     */
    record Loaded(
            List<StoredJob> jobs,
            Map<String, EndedJob> ended,
            Set<String> awaitingRetirement,
            Map<String, Long> unmatchedCancellations,
            List<WorkerClaims> workers,
            long jobsVersion,
            long cancellationsVersion,
            long storeMs) {}
}
