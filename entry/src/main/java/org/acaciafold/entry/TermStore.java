package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.Progress;
import org.acaciafold.fleet.StoredJob;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.platform.RowPage;
import org.acaciafold.platform.StoredRow;
import org.acaciafold.platform.Transaction;
import reactor.core.publisher.Mono;

/** The records of the slice: reading them when a term begins, and writing progress. */
final class TermStore {
    /** Below the store's bound of 100 entries in a transaction, with the lease's own. */
    private static final int ROWS_PER_TRANSACTION = 90;

    private final StoreAccess store;

    TermStore(StoreAccess store) {
        this.store = store;
    }

    Mono<Loaded> load() {
        return Mono.zip(
                        store.readJobTable(Records.JOBS),
                        store.readJobTable(Records.CANCELLATIONS),
                        store.readAll(Records.PROGRESS, Records.SLICE),
                        store.readAll(Records.WORKERS, Records.SLICE))
                .map(pages -> loaded(pages.getT1(), pages.getT2(), pages.getT3(), pages.getT4()));
    }

    static void write(LeaseKeeper lease, Effect.Save save, Runnable then) {
        List<Transaction.Write> writes = new ArrayList<>();
        save.progress()
                .forEach((id, progress) ->
                        writes.add(new Transaction.Write(Records.PROGRESS, id, Records.encode(progress))));
        save.claims()
                .forEach(worker -> writes.add(new Transaction.Write(
                        Records.WORKERS, worker.id(), Records.encode(worker, WorkerClaims.class))));
        List<Transaction.Removal> removals = save.forgotten().stream()
                .map(worker -> new Transaction.Removal(Records.WORKERS, worker))
                .toList();
        write(lease, writes, removals, then);
    }

    private static void write(
            LeaseKeeper lease, List<Transaction.Write> writes, List<Transaction.Removal> removals, Runnable then) {
        int first = Math.min(ROWS_PER_TRANSACTION, writes.size());
        List<Transaction.Write> rest = writes.subList(first, writes.size());
        List<Transaction.Removal> now = rest.isEmpty() ? removals : List.of();
        Runnable next = rest.isEmpty() ? then : () -> write(lease, rest, removals, then);
        lease.commit(writes.subList(0, first), now, next);
    }

    private static Loaded loaded(RowPage jobs, RowPage cancellations, RowPage progress, RowPage workers) {
        Set<String> cancelled = new HashSet<>();
        cancellations.rows().forEach(row -> cancelled.add(row.key()));
        Map<String, Progress> byJob = new HashMap<>();
        Map<String, JobState> ended = new HashMap<>();
        for (StoredRow row : progress.rows()) {
            Records.progress(row).ifPresent(value -> {
                if (value.state().ended()) {
                    ended.put(row.key(), value.state());
                } else {
                    byJob.put(row.key(), value);
                }
            });
        }
        List<StoredJob> stored = new ArrayList<>();
        for (StoredRow row : jobs.rows()) {
            // most rows are of jobs that have ended; decoding them would hold up the start of the term
            if (!ended.containsKey(row.key())) {
                Records.decode(row, Job.class)
                        .ifPresent(job -> stored.add(new StoredJob(
                                job, Optional.ofNullable(byJob.get(job.id())), cancelled.contains(job.id()))));
            }
        }
        List<WorkerClaims> claims = new ArrayList<>();
        workers.rows().forEach(row -> Records.decode(row, WorkerClaims.class).ifPresent(claims::add));
        return new Loaded(stored, ended, claims, jobs.version(), cancellations.version());
    }

    /**
     * What earlier terms have left.
     *
     * @param jobs the jobs that have not ended
     * @param ended the final states of the others
     * @param workers the workers on which runs may exist
     * @param jobsVersion the version from which to follow the table of jobs
     * @param cancellationsVersion the version from which to follow the table of cancellations
     */
    record Loaded(
            List<StoredJob> jobs,
            Map<String, JobState> ended,
            List<WorkerClaims> workers,
            long jobsVersion,
            long cancellationsVersion) {}
}
