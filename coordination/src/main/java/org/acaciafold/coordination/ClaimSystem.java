package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Outcome;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;

/**
 * Claims idempotency keys in the table before their requests are sent, and records the outcomes.
 *
 * <p>The table is the only authority: while it is unresponsive, a claim fails as not run. Concurrent claims and
 * outcomes share one transaction. Each attempt has a unique identifier, so a write whose reply was lost is resolved by
 * writing it again: a conflict with a row of the same attempt means that the first write took effect.
 */
final class ClaimSystem implements HostSystem {
    private static final int GROUP_LIMIT = 256;
    private static final long COMMIT_INTERVAL_MS = 5;
    private static final long CLAIM_DEADLINE_MS = 3_000;
    private static final long RETRY_AFTER_MS = 2_000;
    private static final String PREFIX = "claim/";

    private final HostState state;
    private final Map<String, ClaimEntry> queued = new LinkedHashMap<>();
    private final Map<String, ClaimEntry> open = new HashMap<>();
    private List<ClaimEntry> inFlight = List.of();
    private long lastAttempt;
    private long nextCommitMs;

    private ClaimSystem(HostState state) {
        this.state = state;
    }

    static ClaimSystem of(HostState state) {
        return new ClaimSystem(state);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        if (!(event instanceof Event.ClientCalled called)) {
            return;
        }
        switch (called.body()) {
            case ClientCall.Claim claim -> claim(called.call(), claim, outbox);
            case ClientCall.Settle settle -> settle(called.call(), settle, outbox);
            default -> {
                // handled by other systems
            }
        }
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        failExpired(nowMs, outbox);
        if (queued.isEmpty() || !inFlight.isEmpty() || nowMs < nextCommitMs) {
            return;
        }
        nextCommitMs = nowMs + COMMIT_INTERVAL_MS;
        commit(nowMs, outbox);
    }

    private void claim(long call, ClientCall.Claim claim, Outbox outbox) {
        String key = rowKey(claim.workspace(), claim.key());
        if (open.containsKey(key)) {
            outbox.answer(call, repeatOfOpen(open.get(key), claim.digest()));
            return;
        }
        lastAttempt++;
        String attempt = state.config().host() + "." + state.config().incarnation() + "." + lastAttempt;
        long deadlineMs = state.clock().nowMs() + CLAIM_DEADLINE_MS;
        ClaimEntry entry = ClaimEntry.of(key, claim.digest(), attempt, call, deadlineMs);
        open.put(key, entry);
        queued.put(key, entry);
    }

    private void commit(long nowMs, Outbox outbox) {
        List<Check> checks = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        List<ClaimEntry> group = new ArrayList<>();
        for (ClaimEntry entry : queued.values()) {
            if (group.size() == GROUP_LIMIT) {
                break;
            }
            group.add(entry);
            checks.add(new Check(entry.key(), entry.version()));
            writes.add(new Write(entry.key(), Optional.of(Codec.json().encode(entry.rowToWrite(), ClaimRow.class))));
        }
        group.forEach(entry -> queued.remove(entry.key()));
        inFlight = group;
        outbox.call(nowMs, new TableRequest.Commit(checks, writes), reply -> handleReply(reply, outbox));
    }

    private void handleReply(TableReply reply, Outbox outbox) {
        List<ClaimEntry> group = inFlight;
        inFlight = List.of();
        switch (reply) {
            case TableReply.Committed committed ->
                group.forEach(entry -> handleWritten(entry, committed.version(), outbox));
            case TableReply.Conflict conflict -> handleConflict(group, conflict, outbox);
            case TableReply.Unavailable ignored -> requeue(group);
            case TableReply.Rows ignored -> requeue(group);
        }
    }

    private void handleConflict(List<ClaimEntry> group, TableReply.Conflict conflict, Outbox outbox) {
        Map<String, Row> current = new HashMap<>();
        conflict.current().forEach(row -> current.put(row.key(), row));
        for (ClaimEntry entry : group) {
            Row row = current.get(entry.key());
            long version = row == null ? 0 : row.version();
            if (version == entry.version()) {
                queued.put(entry.key(), entry);
            } else if (row == null) {
                entry.version(0);
                queued.put(entry.key(), entry);
            } else {
                resolve(entry, row, outbox);
            }
        }
    }

    private void resolve(ClaimEntry entry, Row row, Outbox outbox) {
        try {
            ClaimRow found = Codec.json().decode(row.value(), ClaimRow.class, Step.CLAIM, "table");
            if (found.equals(entry.row()) || sameOutcome(found, entry)) {
                handleWritten(entry, row.version(), outbox);
            } else if (found.heldBy(entry.attempt()) || found.abandoned()) {
                entry.version(row.version());
                queued.put(entry.key(), entry);
            } else {
                handleClaimedByOther(entry, found, outbox);
            }
        } catch (AcaciafoldException e) {
            open.remove(entry.key());
            outbox.answer(entry.call(), new ClientReply.Failed(e.failure()));
        }
    }

    /** Handles a key that another attempt has claimed; the caller of an abandoned attempt already has a reply. */
    private void handleClaimedByOther(ClaimEntry entry, ClaimRow found, Outbox outbox) {
        open.remove(entry.key());
        if (!entry.abandoned()) {
            outbox.answer(entry.call(), repeatOf(found, entry.digest()));
        }
    }

    private void failExpired(long nowMs, Outbox outbox) {
        for (ClaimEntry entry : open.values()) {
            boolean waiting = !entry.claimed() && !entry.abandoned();
            if (waiting && nowMs >= entry.deadlineMs()) {
                entry.abandon();
                outbox.answer(entry.call(), new ClientReply.Failed(unavailable()));
            }
        }
    }

    private void requeue(List<ClaimEntry> group) {
        group.forEach(entry -> queued.put(entry.key(), entry));
        nextCommitMs = state.clock().nowMs() + state.config().heartbeatMs();
    }

    private void settle(long call, ClientCall.Settle settle, Outbox outbox) {
        String key = rowKey(settle.workspace(), settle.key());
        ClaimEntry entry = open.get(key);
        if (entry == null || !entry.claimed()) {
            String message = "the key was not claimed at this entry host";
            outbox.answer(
                    call,
                    new ClientReply.Failed(
                            Failure.notRun(Step.CLAIM, state.config().host().value(), "not-claimed", message)));
            return;
        }
        entry.settle(call, settle.outcome());
        if (settle.outcome().outcome() == Outcome.NOT_RUN) {
            entry.abandon();
        }
        queued.put(key, entry);
    }

    private void handleWritten(ClaimEntry entry, long version, Outbox outbox) {
        if (entry.claimed()) {
            open.remove(entry.key());
            outbox.answer(entry.call(), new ClientReply.Settled());
        } else if (entry.abandonmentSent()) {
            open.remove(entry.key());
        } else if (entry.abandoned()) {
            entry.version(version);
            queued.put(entry.key(), entry);
        } else {
            entry.claimed(version);
            outbox.answer(entry.call(), new ClientReply.Claimed());
        }
    }

    private Failure unavailable() {
        String message = "the table service did not record the idempotency key in time; the request was not sent";
        return Failure.notRun(Step.CLAIM, "table", "claim-unavailable", message).withRetryAfterMs(RETRY_AFTER_MS);
    }

    private static boolean sameOutcome(ClaimRow found, ClaimEntry entry) {
        ClaimRow wanted = entry.row();
        return found.heldBy(entry.attempt())
                && found.abandoned() == wanted.abandoned()
                && found.outcome().isPresent() == wanted.outcome().isPresent();
    }

    private static ClientReply repeatOf(ClaimRow found, String digest) {
        return found.digest().equals(digest) ? new ClientReply.Repeated(found.outcome()) : otherRequest();
    }

    private ClientReply repeatOfOpen(ClaimEntry entry, String digest) {
        if (entry.abandoned()) {
            return new ClientReply.Failed(unavailable());
        }
        return entry.digest().equals(digest)
                ? new ClientReply.Repeated(entry.row().outcome())
                : otherRequest();
    }

    private static ClientReply otherRequest() {
        String message = "the idempotency key was used for another request";
        return new ClientReply.Failed(Failure.notRun(Step.CLAIM, "table", "key-reused", message));
    }

    private static String rowKey(WorkspaceId workspace, String key) {
        return PREFIX + workspace + "/" + key;
    }
}
