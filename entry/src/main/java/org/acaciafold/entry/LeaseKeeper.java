package org.acaciafold.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.acaciafold.fleet.leadership.LeaseValidity;
import org.acaciafold.platform.StoredRow;
import org.acaciafold.platform.Transaction;
import org.acaciafold.platform.TxReply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * Renews the leader's lease and writes the leader's records.
 *
 * <p>Every transaction requires the current version of the lease row and rewrites the row. So each write renews the
 * lease, and none is applied after another host has acquired it.
 */
final class LeaseKeeper {
    /** How long a leader may send orders after a renewal; long enough to send one again whose reply is lost. */
    static final long LEASE_MS = 800;

    /** The lease while the store is slow, so that a renewal is confirmed well before the previous one expires. */
    static final long SLOW_LEASE_MS = 2_400;

    /** A store that takes longer than this for a reply is slow; it usually takes ten milliseconds. */
    private static final long SLOW_STORE_MS = 200;

    private static final Logger LOG = LoggerFactory.getLogger(LeaseKeeper.class);
    private static final long RENEW_AFTER_MS = 300;
    private static final long RETRY_MS = 80;

    /** The shortest wait for a reply before a transaction is sent again; replies usually take ten milliseconds. */
    private static final long MIN_RESEND_MS = 300;

    /** The longest wait for a reply before a transaction is sent again, so that it still renews the lease in time. */
    private static final long MAX_RESEND_MS = 1_000;

    /** The wait as a multiple of the last round trip: resending sooner would only lengthen a slow store's queue. */
    private static final int RESEND_FACTOR = 2;

    /** Longer than the store is usually down; another host may have more success after it. */
    private static final long MAX_UNRENEWED_MS = 6_000;

    /** Above the round trip of a slow store, which takes up to a hundred times the usual ten milliseconds. */
    private static final long COMMIT_TIMEOUT_MS = 1_800;

    private final Committer store;
    private final Timers loop;
    private final LeaseValidity validity = LeaseValidity.create();
    private final Deque<PendingWrite> queue = new ArrayDeque<>();
    private final Consumer<String> onLost;
    private LeaseRecord record;
    private long version;
    private long renewalSentAtMs;
    private long renewalSentAtWallMs;
    /** What the store's clock showed when the last renewal was applied, in milliseconds; 0 when unknown. */
    private long storeMs;

    /** The highest fencing token that the leader wants recorded. */
    private long requestedToken;

    private int attempts;
    private long lastRoundTripMs;
    private boolean commitInFlight;
    private boolean releasing;
    private boolean ended;

    LeaseKeeper(Committer store, Timers loop, LeaseWrite acquired, Consumer<String> onLost) {
        this.store = store;
        this.loop = loop;
        this.record = acquired.record();
        this.version = acquired.version();
        this.renewalSentAtMs = acquired.sentAtMs();
        this.renewalSentAtWallMs = acquired.sentAtWallMs();
        this.onLost = onLost;
        validity.confirmed(
                acquired.sentAtMs(), acquired.sentAtWallMs(), acquired.record().leaseMs());
    }

    boolean mayCommand() {
        return !ended && validity.valid(loop.nowMs(), loop.wallMs());
    }

    LeaseRecord record() {
        return record;
    }

    /** Returns the version of the lease row after the last confirmed renewal. */
    long version() {
        return version;
    }

    /** Returns the latest time that the store's clock may show now, in milliseconds; 0 when unknown. */
    long latestStoreMs() {
        // a suspended machine's monotonic clock stands still
        long elapsedMs = Math.max(loop.nowMs() - renewalSentAtMs, loop.wallMs() - renewalSentAtWallMs);
        return storeMs == 0 ? 0 : storeMs + elapsedMs;
    }

    /** Returns how long ago the last confirmed renewal was sent, in milliseconds. */
    long sinceRenewalMs() {
        return loop.nowMs() - renewalSentAtMs;
    }

    /**
     * Writes rows in the slice's partition.
     *
     * @param writes the rows to write
     * @param removals the rows to remove
     * @param onRefused receives each row that the store will never take; the others are applied without it
     * @param onApplied runs once they are applied
     */
    void commit(
            List<Transaction.Write> writes,
            List<Transaction.Removal> removals,
            Consumer<Transaction.Write> onRefused,
            Runnable onApplied) {
        queue.add(new PendingWrite(writes, removals, onRefused, onApplied));
        sendNext();
    }

    /**
     * Records that orders may carry fencing tokens up to the given one.
     *
     * @param token the token
     * @param onApplied runs once that is recorded
     */
    void raiseToken(long token, Runnable onApplied) {
        requestedToken = Math.max(requestedToken, token);
        commitLease(onApplied);
    }

    void end() {
        ended = true;
        validity.lost();
        queue.clear();
    }

    /**
     * Releases the lease.
     *
     * @param onApplied runs once the release is recorded; never when the store is unreachable
     */
    void release(Runnable onApplied) {
        validity.lost();
        PendingWrite inFlight = commitInFlight ? queue.peek() : null;
        queue.clear();
        if (inFlight != null) {
            queue.add(inFlight);
        }
        releasing = true;
        commitLease(() -> {
            end();
            onApplied.run();
        });
    }

    /**
     * Renews the lease when that is due, and gives it up when no transaction has been applied for long, although the
     * store answers.
     *
     * @param storeAnswers whether the store answers other calls of this host
     */
    void renewWhenDue(boolean storeAnswers) {
        if (ended) {
            return;
        }
        if (storeAnswers && sinceRenewalMs() >= MAX_UNRENEWED_MS && !releasing) {
            LOG.error("lease given up epoch={} sinceRenewalMs={}", record.epoch(), sinceRenewalMs());
            end();
            onLost.accept("the store answers but applies no transaction");
        } else if (!commitInFlight && queue.isEmpty() && sinceRenewalMs() >= RENEW_AFTER_MS) {
            commitLease(() -> {});
        }
    }

    private void commitLease(Runnable onApplied) {
        commit(List.of(), List.of(), row -> {}, onApplied);
    }

    private void sendNext() {
        if (commitInFlight || ended || queue.isEmpty()) {
            return;
        }
        commitInFlight = true;
        send(queue.peek());
    }

    private void send(PendingWrite pending) {
        LeaseRecord renewed = record.renewed(nextLeaseMs(), releasing, latestStoreMs(), requestedToken);
        Transaction.Builder transaction = StoreRecords.leaseWrite(renewed, version);
        pending.writes.forEach(write -> transaction.write(write.table(), write.key(), write.value()));
        pending.removals.forEach(removal -> transaction.remove(removal.table(), removal.key()));
        long sentAtMs = loop.nowMs();
        long sentAtWallMs = loop.wallMs();
        store.commit(transaction.build(), COMMIT_TIMEOUT_MS)
                .subscribe(reply -> loop.execute(
                        () -> handleReply(pending, reply, new LeaseWrite(renewed, version, sentAtMs, sentAtWallMs))));
        int attempt = ++attempts;
        loop.after(resendDelayMs(), () -> {
            if (isPending(pending) && attempt == attempts) {
                send(pending);
            }
        });
    }

    /** Returns the length of the next lease, which never ends before one that this host may still command by. */
    private long nextLeaseMs() {
        long usualMs = lastRoundTripMs > SLOW_STORE_MS ? SLOW_LEASE_MS : LEASE_MS;
        return Math.max(usualMs, validity.remainingMs(loop.nowMs(), loop.wallMs()));
    }

    private long resendDelayMs() {
        return Math.clamp(RESEND_FACTOR * lastRoundTripMs, MIN_RESEND_MS, MAX_RESEND_MS);
    }

    /** Returns whether a write is still to be applied; a late reply to an attempt of an earlier write is ignored. */
    private boolean isPending(PendingWrite pending) {
        return !ended && commitInFlight && queue.peek() == pending;
    }

    private void handleReply(PendingWrite pending, TxReply reply, LeaseWrite sent) {
        if (!isPending(pending)) {
            return;
        }
        switch (reply) {
            case TxReply.Applied applied -> {
                lastRoundTripMs = loop.nowMs() - sent.sentAtMs;
                version = applied.version();
                record = sent.record;
                if (!record.released()) {
                    validity.confirmed(sent.sentAtMs, sent.sentAtWallMs, record.leaseMs());
                }
                renewalSentAtMs = sent.sentAtMs;
                renewalSentAtWallMs = sent.sentAtWallMs;
                storeMs = applied.storeMs();
                commitInFlight = false;
                queue.poll();
                pending.onApplied.run();
                sendNext();
            }
            case TxReply.Conflict conflict -> handleConflict(pending, conflict.current());
            case TxReply.Refused refused -> handleRefusal(pending, refused.reason());
            case TxReply.NotDone ignored -> retryLater(pending);
            case TxReply.Unknown ignored -> retryLater(pending);
        }
    }

    /** Writes the two halves of a refused transaction by themselves, down to the row that is at fault. */
    private void handleRefusal(PendingWrite pending, String reason) {
        commitInFlight = false;
        queue.poll();
        if (pending.writes.isEmpty()) {
            LOG.error("lease refused epoch={} removals={} reason={}", record.epoch(), pending.removals, reason);
            end();
            onLost.accept("the store refuses the lease: " + reason);
            return;
        }
        if (pending.writes.size() == 1 && pending.removals.isEmpty()) {
            Transaction.Write row = pending.writes.getFirst();
            LOG.error(
                    "row refused table={} key={} bytes={} reason={}",
                    row.table(),
                    row.key(),
                    row.value().length,
                    reason);
            pending.onRefused.accept(row);
            pending.onApplied.run();
        } else {
            int half = (pending.writes.size() + 1) / 2;
            queue.addFirst(pending.rest(half));
            queue.addFirst(pending.first(half));
        }
        sendNext();
    }

    private void handleConflict(PendingWrite pending, List<StoredRow> current) {
        Optional<StoredRow> row = current.stream()
                .filter(one -> one.table().equals(StoreRecords.LEASES))
                .findFirst();
        Optional<LeaseRecord> holder = row.flatMap(one -> StoreRecords.decode(one, LeaseRecord.class));
        boolean writtenByThisHost = holder.isPresent()
                && holder.get().epoch() == record.epoch()
                && holder.get().life() == record.life()
                && row.get().version() != version;
        if (writtenByThisHost) {
            // an earlier transaction of this host was applied, but its reply was lost; the rows are written again
            version = row.get().version();
            LOG.info("lease written by a transaction without reply epoch={} version={}", record.epoch(), version);
            send(pending);
            return;
        }
        LOG.warn("lease lost epoch={} holder={}", record.epoch(), holder);
        end();
        onLost.accept("lease held by " + holder.map(LeaseRecord::host).orElse("nobody"));
    }

    private void retryLater(PendingWrite pending) {
        int attempt = attempts;
        loop.after(RETRY_MS, () -> {
            if (isPending(pending) && attempt == attempts) {
                send(pending);
            }
        });
    }

    /** Commits transactions to the store. */
    @FunctionalInterface
    interface Committer {
        /** Returns the outcome of a transaction, as far as it is known after at most the given milliseconds. */
        Mono<TxReply> commit(Transaction transaction, long timeoutMs);
    }

    /**
     * A lease that was written to the store.
     *
     * @param record the lease
     * @param version the version of its row, or the version that the write required until it is confirmed
     * @param sentAtMs when the transaction was sent, on the monotonic clock
     * @param sentAtWallMs when it was sent, on the wall clock
     */
    record LeaseWrite(LeaseRecord record, long version, long sentAtMs, long sentAtWallMs) {}

    private record PendingWrite(
            List<Transaction.Write> writes,
            List<Transaction.Removal> removals,
            Consumer<Transaction.Write> onRefused,
            Runnable onApplied) {
        private PendingWrite first(int count) {
            return new PendingWrite(writes.subList(0, count), List.of(), onRefused, () -> {});
        }

        private PendingWrite rest(int count) {
            return new PendingWrite(writes.subList(count, writes.size()), removals, onRefused, onApplied);
        }
    }
}
