package org.acaciafold.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;

import org.acaciafold.fleet.leadership.CallMonitor;
import org.acaciafold.platform.RowChanges;
import org.acaciafold.platform.RowPage;
import org.acaciafold.platform.RowStoreClient;
import org.acaciafold.platform.StoredRow;
import org.acaciafold.platform.Transaction;
import org.acaciafold.platform.TxReply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Access to the store: reads whole tables, creates rows at most once, and tracks whether the store responds. */
final class StoreAccess implements ConfigWatch.Source {
    private static final Logger LOG = LoggerFactory.getLogger(StoreAccess.class);

    /** The store's limit of rows in one response. */
    private static final int PAGE_ROWS = 500;

    /** Maximum number of rows created in one transaction, well below the store's limits of entries and bytes. */
    private static final int MAX_BATCH_ROWS = 24;

    /** The shortest timeout of a call, a hundred times the usual latency of ten milliseconds. */
    private static final long MIN_TIMEOUT_MS = 1_000;

    /** The longest timeout of a call; clients wait for three seconds. */
    private static final long MAX_TIMEOUT_MS = 2_500;

    /** Timeout as a multiple of the recent latency, so that calls to a slow store are not retried over and over. */
    private static final double TIMEOUT_FACTOR = 2.5;

    /** Without a response for this long, forty times the usual latency, the store may be unreachable. */
    private static final long UNRESPONSIVE_MS = 400;

    /** The same limit for a slow store, as a multiple of the recent latency. */
    private static final double UNRESPONSIVE_FACTOR = 2;

    /**
     * Latency that is assumed of a store that did not respond. With the timeout factor, the next call waits for half as
     * long again as the shortest timeout.
     */
    private static final double UNANSWERED_LATENCY_MS = 600;

    /**
     * Concurrent reads when a term begins. In a new process, opening another connection costs more than waiting for
     * one that is in use.
     */
    private static final int LOAD_CONCURRENCY = 3;

    private final RowStoreClient rows;
    private final HostEventLoop loop;
    private final HostMetrics metrics;
    private final Map<String, PartitionWriter> writers = new HashMap<>();
    /** Monitors all calls but long polls for changes. */
    private final CallMonitor calls = CallMonitor.create();

    private long failedAtMs = Long.MIN_VALUE / 2;
    private double recentLatencyMs;

    StoreAccess(RowStoreClient rows, HostEventLoop loop, HostMetrics metrics) {
        this.rows = rows;
        this.loop = loop;
        this.metrics = metrics;
    }

    long answeredAtMs() {
        return calls.answeredAtMs();
    }

    long failedAtMs() {
        return failedAtMs;
    }

    /** Returns whether calls have had no response for much longer than the recent latency. */
    boolean unresponsive() {
        long limitMs = Math.max(UNRESPONSIVE_MS, Math.round(UNRESPONSIVE_FACTOR * recentLatencyMs));
        return calls.unresponsive(loop.nowMs(), limitMs);
    }

    @Override
    public Mono<RowChanges> changes(String table, long after, long waitMs) {
        return rows.changes(table, after, waitMs)
                .doOnNext(changes -> answered())
                .doOnError(error -> failed("feed of " + table, error.getMessage()));
    }

    Mono<TxReply> commit(Transaction transaction) {
        return commit(transaction, timeoutMs());
    }

    Mono<TxReply> commit(Transaction transaction, long timeoutMs) {
        return Mono.defer(() -> {
            long sentAtMs = loop.nowMs();
            long call = calls.started(sentAtMs);
            return rows.commit(transaction, timeoutMs)
                    .doOnNext(reply -> committed(call, reply, loop.nowMs() - sentAtMs))
                    .doFinally(signal -> calls.ended(call));
        });
    }

    /**
     * Creates a row that does not exist yet.
     *
     * @param table the table
     * @param partition the partition
     * @param key the key
     * @param value the value
     * @return what is known about the creation
     */
    Mono<Creation> create(String table, String partition, String key, byte[] value) {
        PartitionWriter writer = writers.computeIfAbsent(partition, PartitionWriter::new);
        return writer.pending
                .computeIfAbsent(table + "/" + key, name -> writer.add(new Transaction.Write(table, key, value)))
                .asMono();
    }

    /**
     * Reads all rows of a table in one partition.
     *
     * @param table the table
     * @param partition the partition
     * @return the rows, with the version of the first page
     */
    @Override
    public Mono<RowPage> readAll(String table, String partition) {
        return readFrom(table, partition, "", new ArrayList<>(), Optional.empty());
    }

    /**
     * Reads one row.
     *
     * @param table the table
     * @param partition the partition
     * @param key the key
     * @return the row; empty when it does not exist
     */
    Mono<Optional<StoredRow>> readOne(String table, String partition, String key) {
        return page(table, partition, key, Optional.of(key + "\u0001"), 1)
                .map(page -> page.rows().stream()
                        .filter(row -> row.key().equals(key))
                        .findFirst());
    }

    /**
     * Reads all partitions of a table that is keyed by job.
     *
     * @param table the table
     * @return all rows, with the lowest version of the partitions
     */
    Mono<RowPage> readJobTable(String table) {
        return Flux.fromIterable(StoreRecords.partitions(table))
                .flatMap(partition -> readAll(table, partition), LOAD_CONCURRENCY)
                .collectList()
                .map(pages -> {
                    List<StoredRow> all = new ArrayList<>();
                    long version = Long.MAX_VALUE;
                    long storeMs = 0;
                    for (RowPage page : pages) {
                        all.addAll(page.rows());
                        version = Math.min(version, page.version());
                        storeMs = Math.max(storeMs, page.storeMs());
                    }
                    return new RowPage(all, false, version, storeMs);
                });
    }

    /**
     * Updates the recent latency. A call without a response counts with an assumed latency at the least, since its
     * response may have needed only a little longer.
     */
    private void recordLatency(boolean answered, long elapsedMs) {
        recentLatencyMs =
                answered ? (recentLatencyMs + elapsedMs) / 2 : Math.max(recentLatencyMs, UNANSWERED_LATENCY_MS);
    }

    private long timeoutMs() {
        return Math.clamp(Math.round(TIMEOUT_FACTOR * recentLatencyMs), MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
    }

    private void answered() {
        if (failedAtMs > calls.answeredAtMs()) {
            LOG.info("store regained afterMs={}", loop.nowMs() - calls.answeredAtMs());
        }
        calls.answered(loop.nowMs());
    }

    private void failed(String call, String reason) {
        if (failedAtMs <= calls.answeredAtMs()) {
            LOG.warn("store lost call={} reason={}", call, reason);
        }
        failedAtMs = loop.nowMs();
    }

    private void committed(long call, TxReply reply, long tookMs) {
        recordLatency(!(reply instanceof TxReply.Unknown), tookMs);
        metrics.storeCall("transaction", reply.getClass().getSimpleName(), tookMs);
        switch (reply) {
            case TxReply.Applied ignored -> answered();
            case TxReply.Conflict ignored -> answered();
            case TxReply.Refused refused -> {
                answered();
                LOG.error("transaction refused for good reason={}", refused.reason());
            }
            case TxReply.NotDone notDone -> failed(call, "transaction", notDone.reason());
            case TxReply.Unknown unknown -> failed(call, "transaction", unknown.reason());
        }
    }

    private void failed(long call, String name, String reason) {
        calls.failed(call);
        failed(name, reason);
    }

    private Mono<RowPage> page(String table, String partition, String from, Optional<String> to, int limit) {
        return Mono.defer(() -> {
            long sentAtMs = loop.nowMs();
            long call = calls.started(sentAtMs);
            return rows.read(table, partition, from, to, limit, timeoutMs())
                    .doOnNext(page -> {
                        recordLatency(true, loop.nowMs() - sentAtMs);
                        metrics.storeCall("read", "answered", loop.nowMs() - sentAtMs);
                        answered();
                    })
                    .doOnError(error -> {
                        recordLatency(false, loop.nowMs() - sentAtMs);
                        metrics.storeCall("read", "failed", loop.nowMs() - sentAtMs);
                        failed(call, "read of " + table, error.getMessage());
                    })
                    .doFinally(signal -> calls.ended(call));
        });
    }

    private Mono<RowPage> readFrom(
            String table, String partition, String from, List<StoredRow> collected, Optional<Long> version) {
        return page(table, partition, from, Optional.empty(), PAGE_ROWS).flatMap(page -> {
            collected.addAll(page.rows());
            long first = version.orElse(page.version());
            if (page.truncated() && !page.rows().isEmpty()) {
                String next = page.rows().getLast().key() + "\u0001";
                return readFrom(table, partition, next, collected, Optional.of(first));
            }
            return Mono.just(new RowPage(collected, false, first, page.storeMs()));
        });
    }

    /** What is known about the creation of a row. */
    enum Creation {
        /** The row exists, created by this call. */
        CREATED,
        /** The row existed before. */
        EXISTED,
        /** The row was not created and will not be created by this call. */
        NOT_DONE,
        /** The row may have been created, or may still be. */
        UNKNOWN
    }

    private record PendingCreation(Transaction.Write write, Sinks.One<Creation> sink) {
        private String rowName() {
            return write.table() + "/" + write.key();
        }
    }

    /** Creates the rows of one partition, one transaction at a time; rows that arrive meanwhile form the next batch. */
    private final class PartitionWriter {
        private final String partition;
        private final Queue<PendingCreation> queue = new ArrayDeque<>();
        private final Map<String, Sinks.One<Creation>> pending = new HashMap<>();
        private boolean inFlight;

        private PartitionWriter(String partition) {
            this.partition = partition;
        }

        private Sinks.One<Creation> add(Transaction.Write write) {
            Sinks.One<Creation> sink = Sinks.one();
            queue.add(new PendingCreation(write, sink));
            loop.execute(this::commitNext);
            return sink;
        }

        private void commitNext() {
            if (inFlight || queue.isEmpty()) {
                return;
            }
            List<PendingCreation> batch = new ArrayList<>();
            List<Transaction.Write> next =
                    queue.stream().limit(MAX_BATCH_ROWS).map(item -> item.write).toList();
            int fitting = StoreRecords.fitting(next, MAX_BATCH_ROWS, partition);
            while (batch.size() < fitting) {
                batch.add(queue.poll());
            }
            inFlight = true;
            commit(batch, () -> {
                inFlight = false;
                commitNext();
            });
        }

        private void commit(List<PendingCreation> batch, Runnable onDone) {
            Transaction.Builder transaction = Transaction.in(partition);
            for (PendingCreation item : batch) {
                transaction.require(item.write.table(), item.write.key(), 0);
                transaction.write(item.write.table(), item.write.key(), item.write.value());
            }
            StoreAccess.this
                    .commit(transaction.build())
                    .subscribe(reply -> loop.execute(() -> {
                        switch (reply) {
                            case TxReply.Applied ignored -> finish(batch, Creation.CREATED);
                            case TxReply.Conflict conflict -> {
                                conflict(batch, conflict.current(), onDone);
                                return;
                            }
                            case TxReply.Refused ignored -> {
                                refused(batch, onDone);
                                return;
                            }
                            case TxReply.NotDone ignored -> finish(batch, Creation.NOT_DONE);
                            case TxReply.Unknown ignored -> finish(batch, Creation.UNKNOWN);
                        }
                        onDone.run();
                    }));
        }

        /** Commits the rows of a refused batch one by one, so that the refusal is only that of the row at fault. */
        private void refused(List<PendingCreation> batch, Runnable onDone) {
            if (batch.size() == 1) {
                LOG.error("row refused for good row={}", batch.getFirst().rowName());
                finish(batch, Creation.NOT_DONE);
                onDone.run();
                return;
            }
            commit(batch.subList(0, 1), () -> commit(batch.subList(1, batch.size()), onDone));
        }

        private void conflict(List<PendingCreation> batch, List<StoredRow> current, Runnable onDone) {
            List<PendingCreation> absent = new ArrayList<>();
            for (PendingCreation item : batch) {
                boolean present = current.stream()
                        .anyMatch(row -> row.key().equals(item.write.key())
                                && row.table().equals(item.write.table())
                                && row.version() > 0
                                && !row.removed());
                if (present) {
                    finish(List.of(item), Creation.EXISTED);
                } else {
                    absent.add(item);
                }
            }
            if (absent.isEmpty()) {
                onDone.run();
            } else if (absent.size() == batch.size()) {
                LOG.error(
                        "store reported a conflict but none of the rows exists partition={} rows={}",
                        partition,
                        batch.size());
                finish(batch, Creation.UNKNOWN);
                onDone.run();
            } else {
                commit(absent, onDone);
            }
        }

        private void finish(List<PendingCreation> batch, Creation creation) {
            for (PendingCreation item : batch) {
                pending.remove(item.rowName());
                item.sink.tryEmitValue(creation);
            }
        }
    }
}
