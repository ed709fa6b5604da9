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
    private static final int BATCH = 24;

    /** The shortest wait for an answer, a hundred times the usual ten milliseconds. */
    private static final long MIN_TIMEOUT_MS = 1_000;

    /** The longest wait; consumers wait for three seconds. */
    private static final long MAX_TIMEOUT_MS = 2_500;

    /** A wait lasts this multiple of what answers took of late, so that a slow store is not asked over and over. */
    private static final double TIMEOUT_FACTOR = 2.5;

    /** Without any answer for this long, forty times the usual, the store may be out of reach. */
    private static final long SILENT_MS = 400;

    /** The same in a slow store, in multiples of what answers took of late. */
    private static final double SILENT_FACTOR = 2;

    /** What is assumed of a store that did not answer: half as long a wait again next time. */
    private static final double UNANSWERED_MS = 600;

    /** Reads at a time when a term begins; opening a connection costs a new process more than waiting for another. */
    private static final int LOAD_CONCURRENCY = 3;

    private final RowStoreClient rows;
    private final HostEventLoop loop;
    private final HostMetrics metrics;
    private final Map<String, Lane> lanes = new HashMap<>();
    private long answeredAtMs = Long.MIN_VALUE / 2;
    private long failedAtMs = Long.MIN_VALUE / 2;
    private double recentMs;
    /** When each call that is not answered yet was sent, the oldest first; calls that wait for changes do not count. */
    private final Map<Long, Long> open = new LinkedHashMap<>();

    private long lastCall;

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
    boolean silent() {
        long limitMs = Math.max(SILENT_MS, Math.round(SILENT_FACTOR * recentMs));
        long oldestMs =
                open.isEmpty() ? 0 : loop.nowMs() - open.values().iterator().next();
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
            long call = begin();
            return rows.commit(transaction, timeoutMs)
                    .doFinally(signal -> open.remove(call))
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
        Lane lane = lanes.computeIfAbsent(partition, Lane::new);
        return lane.open
                .computeIfAbsent(table + "/" + key, name -> lane.add(new Transaction.Write(table, key, value)))
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

    private long begin() {
        long call = lastCall++;
        open.put(call, loop.nowMs());
        return call;
    }

    /** Notes how long an answer took; one that did not come may have needed a little longer. */
    private void took(boolean answered, long elapsedMs) {
        recentMs = answered ? (recentMs + elapsedMs) / 2 : Math.max(recentMs, UNANSWERED_MS);
    }

    private long timeoutMs() {
        return Math.clamp(Math.round(TIMEOUT_FACTOR * recentMs), MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
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
        took(!(reply instanceof TxReply.Unknown), tookMs);
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
            long call = begin();
            return rows.read(table, partition, from, to, limit, timeoutMs())
                    .doFinally(signal -> open.remove(call))
                    .doOnNext(page -> {
                        took(true, loop.nowMs() - sentAtMs);
                        metrics.storeCall("read", "answered", loop.nowMs() - sentAtMs);
                        answered();
                    })
                    .doOnError(error -> {
                        took(false, loop.nowMs() - sentAtMs);
                        metrics.storeCall("read", "failed", loop.nowMs() - sentAtMs);
                        failed("read of " + table, error.getMessage());
                    });
        });
    }

    private Mono<RowPage> readFrom(
            String table, String partition, String from, List<StoredRow> before, Optional<Long> version) {
        return page(table, partition, from, Optional.empty(), PAGE_ROWS).flatMap(page -> {
            before.addAll(page.rows());
            long first = version.orElse(page.version());
            if (page.truncated() && !page.rows().isEmpty()) {
                String next = page.rows().getLast().key() + "\u0001";
                return readFrom(table, partition, next, before, Optional.of(first));
            }
            return Mono.just(new RowPage(before, false, first));
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

    private record Waiting(Transaction.Write write, Sinks.One<Creation> sink) {
        private String name() {
            return write.table() + "/" + write.key();
        }
    }

    /** The creations of one partition: one transaction at a time, which carries what has gathered meanwhile. */
    private final class Lane {
        private final String partition;
        private final Queue<Waiting> waiting = new ArrayDeque<>();
        private final Map<String, Sinks.One<Creation>> open = new HashMap<>();
        private boolean busy;

        private Lane(String partition) {
            this.partition = partition;
        }

        private Sinks.One<Creation> add(Transaction.Write write) {
            Sinks.One<Creation> sink = Sinks.one();
            waiting.add(new Waiting(write, sink));
            loop.execute(this::next);
            return sink;
        }

        private void next() {
            if (busy || waiting.isEmpty()) {
                return;
            }
            List<Waiting> batch = new ArrayList<>();
            while (batch.size() < BATCH && !waiting.isEmpty()) {
                batch.add(waiting.poll());
            }
            busy = true;
            commit(batch, () -> {
                busy = false;
                next();
            });
        }

        private void commit(List<Waiting> batch, Runnable then) {
            Transaction.Builder transaction = Transaction.in(partition);
            for (Waiting one : batch) {
                transaction.require(one.write.table(), one.write.key(), 0);
                transaction.write(one.write.table(), one.write.key(), one.write.value());
            }
            StoreAccess.this
                    .commit(transaction.build())
                    .subscribe(reply -> loop.execute(() -> {
                        switch (reply) {
                            case TxReply.Applied ignored -> finish(batch, Creation.CREATED);
                            case TxReply.Conflict conflict -> {
                                conflict(batch, conflict.current(), then);
                                return;
                            }
                            case TxReply.NotDone ignored -> finish(batch, Creation.NOT_DONE);
                            case TxReply.Unknown ignored -> finish(batch, Creation.UNKNOWN);
                        }
                        then.run();
                    }));
        }

        private void conflict(List<Waiting> batch, List<StoredRow> current, Runnable then) {
            List<Waiting> absent = new ArrayList<>();
            for (Waiting one : batch) {
                boolean there = current.stream()
                        .anyMatch(row -> row.key().equals(one.write.key())
                                && row.table().equals(one.write.table())
                                && row.version() > 0
                                && !row.removed());
                if (there) {
                    finish(List.of(one), Creation.EXISTED);
                } else {
                    absent.add(one);
                }
            }
            if (absent.isEmpty()) {
                then.run();
            } else if (absent.size() == batch.size()) {
                LOG.error("conflict without a present row partition={} rows={}", partition, batch.size());
                finish(batch, Creation.UNKNOWN);
                then.run();
            } else {
                commit(absent, then);
            }
        }

        private void finish(List<Waiting> batch, Creation creation) {
            for (Waiting one : batch) {
                open.remove(one.name());
                one.sink.tryEmitValue(creation);
            }
        }
    }
}
