package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

import org.acaciafold.platform.StoredRow;
import org.acaciafold.platform.Transaction;
import org.acaciafold.platform.TxReply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LeaseKeeperTest {
    private static final LeaseRecord LEASE = new LeaseRecord("a", "a:1", 1, 3, LeaseKeeper.LEASE_MS, false, 0, 0);

    /** How often a leader checks whether a renewal is due. */
    private static final long POLL_MS = 100;

    /** A store's usual reply time. */
    private static final long STORE_REPLY_MS = 10;

    private final ManualTimers timers = new ManualTimers();
    private final List<Call> calls = new ArrayList<>();
    private final List<String> lostReasons = new ArrayList<>();
    private final LeaseKeeper lease = new LeaseKeeper(
            this::commit,
            timers,
            new LeaseKeeper.LeaseWrite(LEASE, 10, timers.nowMs(), timers.wallMs()),
            lostReasons::add);
    private final List<String> refused = new ArrayList<>();
    private int applied;

    private Mono<TxReply> commit(Transaction transaction, long timeoutMs) {
        Call call = new Call(transaction, Sinks.one());
        calls.add(call);
        return call.reply.asMono();
    }

    private void write(String... keys) {
        List<Transaction.Write> writes = Stream.of(keys)
                .map(key -> new Transaction.Write(StoreRecords.PROGRESS, key, new byte[] {1}))
                .toList();
        lease.commit(writes, List.of(), row -> refused.add(row.key()), () -> applied++);
    }

    private void write() {
        write("job");
    }

    private static TxReply conflict(LeaseRecord holder, long version) {
        byte[] value = StoreRecords.encode(holder, LeaseRecord.class);
        return new TxReply.Conflict(List.of(
                new StoredRow(StoreRecords.LEASES, StoreRecords.SLICE, StoreRecords.LEASE_KEY, value, version, false)));
    }

    /** Answers all calls like a store that never takes some rows; returns the rows that it has taken. */
    private Set<String> answerCalls(Set<String> badRows) {
        Set<String> taken = new TreeSet<>();
        for (int i = 0; i < calls.size(); i++) {
            List<String> keys = calls.get(i).transaction.writes().stream()
                    .map(Transaction.Write::key)
                    .filter(key -> !key.equals(StoreRecords.LEASE_KEY))
                    .toList();
            if (keys.stream().anyMatch(badRows::contains)) {
                calls.get(i).answer(new TxReply.Refused("status 400"));
            } else {
                taken.addAll(keys);
                calls.get(i).answer(new TxReply.Applied(11 + i, 0));
            }
        }
        return taken;
    }

    /** Guards against a row that the store refuses for good, and that is repeated without end and stops all others. */
    @ParameterizedTest
    @CsvSource({"a", "b", "c", "d", "e"})
    void shouldWriteTheOtherRowsWhenTheStoreRefusesOne(String bad) {
        Set<String> others = new TreeSet<>(Set.of("a", "b", "c", "d", "e", "f"));
        others.remove(bad);
        write("a", "b", "c", "d", "e");
        write("f");

        assertEquals(others, answerCalls(Set.of(bad)));
        assertEquals(List.of(bad), refused);
        assertEquals(2, applied);
        assertEquals(List.of(), lostReasons);
        long sentAlone = calls.stream()
                .filter(call -> call.transaction.writes().stream()
                                .filter(write -> !write.table().equals(StoreRecords.LEASES))
                                .count()
                        == 1)
                .filter(call -> call.transaction.writes().stream()
                        .anyMatch(write -> write.key().equals(bad)))
                .count();
        assertEquals(1, sentAlone);
    }

    @Test
    void shouldGiveTheLeaseUpWhenTheStoreRefusesTheLeaseItself() {
        while (calls.isEmpty()) {
            timers.advance(POLL_MS);
            lease.renewWhenDue(true);
        }

        calls.getFirst().answer(new TxReply.Refused("status 403"));

        assertEquals(1, lostReasons.size());
        assertFalse(lease.mayCommand());
    }

    /** Guards against a leader that can neither order nor be replaced, since its heartbeats go on. */
    @ParameterizedTest
    @CsvSource({"true, 5900, 0", "true, 6100, 1", "false, 60000, 0"})
    void shouldGiveTheLeaseUpWhenTheStoreAnswersButAppliesNothing(boolean storeAnswers, long ms, int expected) {
        for (long passedMs = 0; passedMs < ms; passedMs += POLL_MS) {
            timers.advance(POLL_MS);
            lease.renewWhenDue(storeAnswers);
        }

        assertEquals(expected, lostReasons.size());
    }

    /** Guards against a successor that waits for leases as if its predecessor had commanded until then. */
    @Test
    void shouldTellWhenItsAuthorityEndsOnTheStoresClock() {
        write();
        assertEquals(0, lastLease().endsAtStoreMs());
        timers.advance(20);
        calls.getFirst().answer(new TxReply.Applied(11, 5_000));
        timers.advance(100);

        write();

        assertEquals(5_120 + LeaseKeeper.LEASE_MS, lastLease().endsAtStoreMs());
    }

    /** Guards against a lease that ends in the store before its holder stops, since the reply to a shorter one is lost. */
    @Test
    void shouldTellTheEndOfTheLongestLeaseThatItMayHold() {
        LeaseRecord slow = LEASE.renewed(LeaseKeeper.SLOW_LEASE_MS, false, 5_000, 0);

        assertEquals(
                5_000 + LeaseKeeper.SLOW_LEASE_MS,
                slow.renewed(LeaseKeeper.LEASE_MS, false, 5_300, 0).endsAtStoreMs());
        assertEquals(
                9_000 + LeaseKeeper.LEASE_MS,
                slow.renewed(LeaseKeeper.LEASE_MS, false, 9_000, 0).endsAtStoreMs());
        assertEquals(0, slow.renewed(LeaseKeeper.LEASE_MS, false, 0, 0).endsAtStoreMs());
    }

    /** Guards against a successor whose calls carry a lower token than those of its predecessor. */
    @Test
    void shouldRecordTheRaisedTokenWithEachLaterRenewal() {
        write();
        lease.raiseToken(7, () -> applied++);
        assertEquals(0, lastLease().fencingToken());

        calls.getLast().answer(new TxReply.Applied(11, 0));
        assertEquals(7, lastLease().fencingToken());
        assertEquals(1, applied);
        calls.getLast().answer(new TxReply.Applied(12, 0));
        write();

        assertEquals(2, applied);
        assertEquals(7, lastLease().fencingToken());
        assertEquals(8, lastLease().nextEpoch());
    }

    /** Guards against two leaders, since a shorter renewal whose reply is lost is in the store. */
    @Test
    void shouldNeverWriteALeaseThatEndsBeforeTheOneThatItCommandsBy() {
        write();
        timers.advance(600);
        calls.getLast().answer(new TxReply.Applied(11, 0));
        write();
        assertEquals(LeaseKeeper.SLOW_LEASE_MS, lastLease().leaseMs());
        calls.getLast().answer(new TxReply.Applied(12, 0));
        timers.advance(100);

        write();

        assertEquals(LeaseKeeper.SLOW_LEASE_MS - 100, lastLease().leaseMs());
    }

    private LeaseRecord lastLease() {
        byte[] value = calls.getLast().transaction.writes().stream()
                .filter(write -> write.table().equals(StoreRecords.LEASES))
                .findFirst()
                .orElseThrow()
                .value();
        return StoreRecords.decode(
                        new StoredRow(StoreRecords.LEASES, StoreRecords.SLICE, StoreRecords.LEASE_KEY, value, 1, false),
                        LeaseRecord.class)
                .orElseThrow();
    }

    /** Guards against a time that the store's clock has passed already, so that the next leader ends a lease too early. */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 5000, 5070",
        "300, 0, 5000, 5370",
        "300, 900, 5000, 6270",
        "300, -900, 5000, 5370",
        "300, 0, 0, 0"
    })
    void shouldTellTheLatestTimeOfTheStoresClock(long passedMs, long suspendedMs, long storeMs, long latestMs) {
        write();
        timers.advance(70);
        calls.getFirst().answer(new TxReply.Applied(11, storeMs));
        timers.advance(passedMs);
        timers.suspend(suspendedMs);

        assertEquals(latestMs, lease.latestStoreMs());
    }

    @Test
    void shouldRenewWithEveryWriteAndRequireTheVersionOfTheLastOne() {
        write();
        calls.getFirst().answer(new TxReply.Applied(11, 0));
        write();

        assertEquals(1, applied);
        assertEquals(11, calls.get(1).transaction.conditions().getFirst().version());
        timers.advance(LeaseKeeper.LEASE_MS - 1);
        assertTrue(lease.mayCommand());
        timers.advance(1);
        assertFalse(lease.mayCommand());
    }

    /**
     * Guards against a lease that is too short: a leader whose renewal gets no reply would stop ordering until the next
     * one is confirmed.
     */
    @Test
    void shouldKeepTheLeaseWhenTheReplyToOneRenewalIsLost() {
        while (calls.isEmpty()) {
            timers.advance(POLL_MS);
            lease.renewWhenDue(true);
        }
        while (calls.size() == 1) {
            timers.advance(STORE_REPLY_MS);
        }
        timers.advance(STORE_REPLY_MS);
        assertTrue(lease.mayCommand());

        calls.get(1).answer(new TxReply.Applied(11, 0));

        assertTrue(lease.mayCommand());
        assertTrue(lease.sinceRenewalMs() < LeaseKeeper.LEASE_MS);
    }

    @Test
    void shouldAcceptALateReplyWhenTheStoreIsSlow() {
        write();
        timers.advance(300);
        timers.advance(420);
        assertEquals(3, calls.size());

        calls.getFirst().answer(new TxReply.Applied(11, 0));
        calls.get(1).answer(conflict(LEASE, 11));

        assertEquals(1, applied);
        assertTrue(lostReasons.isEmpty());
        assertTrue(lease.mayCommand());
    }

    @Test
    void shouldResendLaterWhenTheStoreHasBecomeSlow() {
        write();
        timers.advance(720);
        calls.getFirst().answer(new TxReply.Applied(11, 0));
        int before = calls.size();

        write();
        timers.advance(999);
        assertEquals(before + 1, calls.size());
        timers.advance(1);
        assertEquals(before + 2, calls.size());
    }

    @ParameterizedTest
    @CsvSource({"10, 800", "720, 2400"})
    void shouldRenewForLongerWhenTheStoreIsSlow(long answerMs, long leaseMs) {
        write();
        timers.advance(answerMs);
        calls.getFirst().answer(new TxReply.Applied(11, 0));
        write();
        long sentAtMs = timers.nowMs();
        calls.getLast().answer(new TxReply.Applied(12, 0));

        assertEquals(leaseMs, lease.record().leaseMs());
        timers.advance(sentAtMs + leaseMs - 1 - timers.nowMs());
        assertTrue(lease.mayCommand());
        timers.advance(1);
        assertFalse(lease.mayCommand());
    }

    @ParameterizedTest
    @CsvSource({"10, 300", "700, 1000", "1500, 1000"})
    void shouldKeepTheResendDelayWithinItsBounds(long answerMs, long repeatMs) {
        write();
        timers.advance(answerMs);
        calls.getFirst().answer(new TxReply.Applied(11, 0));
        int before = calls.size();

        write();
        timers.advance(repeatMs - 1);
        assertEquals(before + 1, calls.size());
        timers.advance(1);
        assertEquals(before + 2, calls.size());
    }

    @Test
    void shouldWriteAgainWhenAWriteWithoutReplyWasApplied() {
        write();
        calls.getFirst().answer(new TxReply.Unknown("no answer"));
        timers.advance(100);
        calls.get(1).answer(conflict(LEASE, 12));

        assertEquals(0, applied);
        assertEquals(12, calls.get(2).transaction.conditions().getFirst().version());
        calls.get(2).answer(new TxReply.Applied(13, 0));
        assertEquals(1, applied);
    }

    @Test
    void shouldEndAtOnceWhenAnotherHostHoldsTheLease() {
        write();
        calls.getFirst().answer(conflict(new LeaseRecord("b", "b:1", 9, 4, LeaseKeeper.LEASE_MS, false, 0, 0), 12));

        assertEquals(1, lostReasons.size());
        assertFalse(lease.mayCommand());
        assertEquals(0, applied);
    }

    @Test
    void shouldReleaseAfterTheWriteInFlight() {
        List<String> released = new ArrayList<>();
        write();
        lease.release(() -> released.add("released"));
        assertFalse(lease.mayCommand());

        calls.getFirst().answer(new TxReply.Applied(11, 0));
        assertEquals(2, calls.size());
        calls.get(1).answer(new TxReply.Applied(12, 0));

        assertEquals(List.of("released"), released);
        byte[] row = calls.get(1).transaction.writes().getFirst().value();
        StoredRow stored =
                new StoredRow(StoreRecords.LEASES, StoreRecords.SLICE, StoreRecords.LEASE_KEY, row, 12, false);
        assertTrue(StoreRecords.decode(stored, LeaseRecord.class).orElseThrow().released());
    }

    private record Call(Transaction transaction, Sinks.One<TxReply> reply) {
        private void answer(TxReply value) {
            reply.tryEmitValue(value);
        }
    }
}
