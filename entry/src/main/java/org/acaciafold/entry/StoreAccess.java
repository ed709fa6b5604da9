package org.acaciafold.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;

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

/** The store as a host sees it: whether it answers, whole tables, and rows that are created at most once. */
final class StoreAccess implements ConfigWatch.Source {
    private static final Logger LOG = LoggerFactory.getLogger(StoreAccess.class);

    /** The store's bound of rows in one answer. */
    private static final int PAGE_ROWS = 500;

    /** Rows created in one transaction, well below the store's bounds of entries and bytes. */
    private static final int MAX_BATCH_ROWS = 24;

    /** The shortest wait for an answer, a hundred times the usual ten milliseconds. */
    private static final long MIN_TIMEOUT_MS = 1_000;

    /** The longest wait; consumers wait for three seconds. */
    private static final long MAX_TIMEOUT_MS = 2_500;

    /** A wait lasts this multiple of what answers took of late, so that a slow store is not asked over and over. */
    private static final double TIMEOUT_FACTOR = 2.5;

    /** Without any answer for this long, forty times the usual, the store may be out of reach. */
    private static final long UNRESPONSIVE_MS = 400;

    /** The same in a slow store, in multiples of what answers took of late. */
    private static final double UNRESPONSIVE_FACTOR = 2;

    /** What is assumed of a store that did not answer: half as long a wait again next time. */
    private static final double UNANSWERED_LATENCY_MS = 600;

    /** Reads at a time when a term begins; opening a connection costs a new process more than waiting for another. */
    private static final int LOAD_CONCURRENCY = 3;

    private final RowStoreClient rows;
    private final HostEventLoop loop;
    private final HostMetrics metrics;
    private final Map<String, PartitionWriter> writers = new HashMap<>();
    private long answeredAtMs = Long.MIN_VALUE / 2;
    private long failedAtMs = Long.MIN_VALUE / 2;
    private double recentLatencyMs;
    /** When each call that is not answered yet was sent, the oldest first; calls that wait for changes do not count. */
    private final Map<Long, Long> openCalls = new LinkedHashMap<>();

    private long nextCallId;

    StoreAccess(RowStoreClient rows, HostEventLoop loop, HostMetrics metrics) {
        this.rows = rows;
        this.loop = loop;
        this.metrics = metrics;
    }

    long answeredAtMs() {
        return answeredAtMs;
    }

    long failedAtMs() {
        return failedAtMs;
    }

    /** Tells whether calls have got no answer for much longer than answers took of late. */
    boolean unresponsive() {
        long limitMs = Math.max(UNRESPONSIVE_MS, Math.round(UNRESPONSIVE_FACTOR * recentLatencyMs));
        long oldestMs = openCalls.isEmpty()
                ? 0
                : loop.nowMs() - openCalls.values().iterator().next();
        return Math.min(oldestMs, loop.nowMs() - answeredAtMs) > limitMs;
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
            long call = trackCall();
            return rows.commit(transaction, timeoutMs)
                    .doFinally(signal -> openCalls.remove(call))
                    .doOnNext(reply -> committed(reply, loop.nowMs() - sentAtMs));
        });
    }

    /**
     * Creates a row that does not exist yet.
     *
     * @param table the table
     * @param partition the partition
     * @param key the key
     * @param value the value
     * @return what is known of it
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
     * @return the rows with the version of the first page
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
     * @return the row, when it exists
     */
    Mono<Optional<StoredRow>> readOne(String table, String partition, String key) {
        return page(table, partition, key, Optional.of(key + "\u0001"), 1)
                .map(page -> page.rows().stream()
                        .filter(row -> row.key().equals(key))
                        .findFirst());
    }

    /**
     * Reads all partitions of a table of jobs.
     *
     * @param table the table
     * @return all rows, with the lowest version of the pages
     */
    Mono<RowPage> readJobTable(String table) {
        return Flux.fromIterable(StoreRecords.partitions(table))
                .flatMap(partition -> readAll(table, partition), LOAD_CONCURRENCY)
                .collectList()
                .map(pages -> {
                    List<StoredRow> all = new ArrayList<>();
                    long version = Long.MAX_VALUE;
                    for (RowPage page : pages) {
                        all.addAll(page.rows());
                        version = Math.min(version, page.version());
                    }
                    return new RowPage(all, false, version);
                });
    }

    private long trackCall() {
        long call = nextCallId++;
        openCalls.put(call, loop.nowMs());
        return call;
    }

    /** Notes how long an answer took; one that did not come may have needed a little longer. */
    private void recordLatency(boolean answered, long elapsedMs) {
        recentLatencyMs =
                answered ? (recentLatencyMs + elapsedMs) / 2 : Math.max(recentLatencyMs, UNANSWERED_LATENCY_MS);
    }

    private long timeoutMs() {
        return Math.clamp(Math.round(TIMEOUT_FACTOR * recentLatencyMs), MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
    }

    private void answered() {
        if (failedAtMs > answeredAtMs) {
            LOG.info("store regained afterMs={}", loop.nowMs() - answeredAtMs);
        }
        answeredAtMs = loop.nowMs();
    }

    private void failed(String call, String reason) {
        if (failedAtMs <= answeredAtMs) {
            LOG.warn("store lost call={} reason={}", call, reason);
        }
        failedAtMs = loop.nowMs();
    }

    private void committed(TxReply reply, long tookMs) {
        recordLatency(!(reply instanceof TxReply.Unknown), tookMs);
        metrics.storeCall("transaction", reply.getClass().getSimpleName(), tookMs);
        observe(reply);
    }

    private void observe(TxReply reply) {
        switch (reply) {
            case TxReply.Applied ignored -> answered();
            case TxReply.Conflict ignored -> answered();
            case TxReply.NotDone notDone -> failed("transaction", notDone.reason());
            case TxReply.Unknown unknown -> failed("transaction", unknown.reason());
        }
    }

    private Mono<RowPage> page(String table, String partition, String from, Optional<String> to, int limit) {
        return Mono.defer(() -> {
            long sentAtMs = loop.nowMs();
            long call = trackCall();
            return rows.read(table, partition, from, to, limit, timeoutMs())
                    .doFinally(signal -> openCalls.remove(call))
                    .doOnNext(page -> {
                        recordLatency(true, loop.nowMs() - sentAtMs);
                        metrics.storeCall("read", "answered", loop.nowMs() - sentAtMs);
                        answered();
                    })
                    .doOnError(error -> {
                        recordLatency(false, loop.nowMs() - sentAtMs);
                        metrics.storeCall("read", "failed", loop.nowMs() - sentAtMs);
                        failed("read of " + table, error.getMessage());
                    });
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
            return Mono.just(new RowPage(collected, false, first));
        });
    }

    /** What is known of the creation of a row. */
    enum Creation {
        /** The row is there, by this call. */
        CREATED,
        /** The row was there before. */
        EXISTED,
        /** The row was not created and will not be. */
        NOT_DONE,
        /** The row may have been created, or may be yet. */
        UNKNOWN
    }

    private record PendingCreation(Transaction.Write write, Sinks.One<Creation> sink) {
        private String rowName() {
            return write.table() + "/" + write.key();
        }
    }

    /** The creations of one partition: one transaction at a time, which carries what has gathered meanwhile. */
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
            while (batch.size() < MAX_BATCH_ROWS && !queue.isEmpty()) {
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
                            case TxReply.NotDone ignored -> finish(batch, Creation.NOT_DONE);
                            case TxReply.Unknown ignored -> finish(batch, Creation.UNKNOWN);
                        }
                        onDone.run();
                    }));
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
                LOG.error("conflict without a present row partition={} rows={}", partition, batch.size());
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
