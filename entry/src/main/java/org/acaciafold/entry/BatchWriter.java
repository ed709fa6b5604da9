package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.stream.Stream;

import org.acaciafold.fleet.Effect;
import org.acaciafold.fleet.WorkerClaims;
import org.acaciafold.platform.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;

/** Writes the batches of progress and claims of one term, in as many transactions as the store's limits ask for. */
final class BatchWriter {
    private static final Logger LOG = LoggerFactory.getLogger(BatchWriter.class);

    /** Keeps a transaction, together with the lease row, below the store's limit of 100 entries. */
    private static final int ROWS_PER_TRANSACTION = 90;

    private final LeaseKeeper lease;
    private final Hiding hiding;
    private final Consumer<Transaction.Write> onRefused;
    private final LongConsumer onSaved;

    /**
     * Creates the writer of a term.
     *
     * @param lease the lease, without which nothing is written
     * @param hiding makes hosts of earlier releases leave jobs alone
     * @param onRefused receives each row that the store will never take
     * @param onSaved receives the number of each batch once all its other rows are written
     */
    BatchWriter(LeaseKeeper lease, Hiding hiding, Consumer<Transaction.Write> onRefused, LongConsumer onSaved) {
        this.lease = lease;
        this.hiding = hiding;
        this.onRefused = onRefused;
        this.onSaved = onSaved;
    }

    /** Writes a batch; its claims come after its progress. */
    void write(Effect.Save save) {
        List<Transaction.Write> writes = new ArrayList<>();
        save.progress()
                .forEach((id, progress) ->
                        writes.add(new Transaction.Write(StoreRecords.PROGRESS, id, StoreRecords.encode(progress))));
        List<String> unreadable = writes.stream()
                .filter(row -> RowCompression.compressed(row.value()))
                .map(Transaction.Write::key)
                .toList();
        save.claims()
                .forEach(worker -> writes.add(new Transaction.Write(
                        StoreRecords.WORKERS, worker.id(), StoreRecords.encode(worker, WorkerClaims.class))));
        List<Transaction.Removal> removals = Stream.concat(
                        save.removedWorkers().stream()
                                .map(worker -> new Transaction.Removal(StoreRecords.WORKERS, worker)),
                        save.obsoleteProgress().stream()
                                .map(job -> new Transaction.Removal(StoreRecords.PROGRESS, job)))
                .toList();
        if (unreadable.isEmpty()) {
            write(save.batch(), writes, removals);
            return;
        }
        hiding.hide(unreadable)
                .doOnNext(job -> LOG.info("record compressed job={}", job))
                .onErrorResume(error -> {
                    LOG.warn("records stay readable by earlier releases reason={}", error.getMessage());
                    return Flux.empty();
                })
                .doOnComplete(() -> write(save.batch(), writes, removals))
                .subscribe();
    }

    private void write(long batch, List<Transaction.Write> writes, List<Transaction.Removal> removals) {
        int written = StoreRecords.fitting(writes, ROWS_PER_TRANSACTION, StoreRecords.SLICE);
        int removed = Math.min(ROWS_PER_TRANSACTION - written, removals.size());
        List<Transaction.Write> writesLeft = writes.subList(written, writes.size());
        List<Transaction.Removal> removalsLeft = removals.subList(removed, removals.size());
        boolean last = writesLeft.isEmpty() && removalsLeft.isEmpty();
        lease.commit(writes.subList(0, written), removals.subList(0, removed), onRefused, () -> {
            if (last) {
                onSaved.accept(batch);
            } else {
                write(batch, writesLeft, removalsLeft);
            }
        });
    }

    /** Makes hosts of earlier releases leave jobs alone. */
    @FunctionalInterface
    interface Hiding {
        /** Hides the records of jobs; returns those that are hidden now, on the leader's thread. */
        Flux<String> hide(List<String> jobs);
    }
}
