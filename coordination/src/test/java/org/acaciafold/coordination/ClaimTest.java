package org.acaciafold.coordination;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.acaciafold.core.model.Outcome;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.TableRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

class ClaimTest {
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("north");
    private static final String KEY = "hold-1";
    private static final String DIGEST = "digest";
    private static final int HTTP_OK = 200;
    private static final long LONGER_THAN_A_CLAIM_MS = 6_000;

    private Cell cell;
    private CellHost first;
    private CellHost second;

    @BeforeEach
    void start() {
        cell = Cell.of(2, 3, "east");
        first = cell.owner("east");
        second = cell.other(first);
    }

    // -- claim

    @Test
    void shouldGrantTheKeyToOneHostWhenTwoClaimIt() {
        assertInstanceOf(ClientReply.Claimed.class, claim(first, DIGEST));

        ClientReply.Repeated repeated = assertInstanceOf(ClientReply.Repeated.class, claim(second, DIGEST));

        assertEquals(Optional.empty(), repeated.outcome());
    }

    @Test
    void shouldClaimOnceWhenTheTableReplyIsLost() {
        AtomicInteger lost = new AtomicInteger();
        cell.dropTableReplies(request -> writesClaim(request) && lost.getAndIncrement() == 0);

        assertInstanceOf(ClientReply.Claimed.class, claim(first, DIGEST));
        assertInstanceOf(ClientReply.Repeated.class, claim(second, DIGEST));
    }

    @Test
    void shouldRejectAnotherRequestUnderTheSameKey() {
        claim(first, DIGEST);

        assertEquals("key-reused", failed(claim(second, "other")).failure().code());
    }

    @Test
    void shouldReportNotRunAndReleaseTheKeyWhenTheTableIsUnavailable() {
        cell.tableUp(false);
        ClientReply.Failed refused = failed(claim(first, DIGEST));
        cell.tableUp(true);
        cell.advance(LONGER_THAN_A_CLAIM_MS);

        assertEquals(Outcome.NOT_RUN, refused.failure().outcome());
        assertInstanceOf(ClientReply.Claimed.class, claim(second, DIGEST));
    }

    // -- settle

    @Test
    void shouldReturnTheFirstOutcomeWhenTheRequestIsRepeated() {
        claim(first, DIGEST);
        settle(Outcome.RAN);

        ClientReply.Repeated repeated = assertInstanceOf(ClientReply.Repeated.class, claim(second, DIGEST));

        assertEquals(Outcome.RAN, repeated.outcome().orElseThrow().outcome());
    }

    @Test
    void shouldReleaseTheKeyWhenTheRequestDidNotRun() {
        claim(first, DIGEST);
        settle(Outcome.NOT_RUN);

        assertInstanceOf(ClientReply.Claimed.class, claim(second, DIGEST));
    }

    @Test
    void shouldRejectAnOutcomeWhenThisHostDidNotClaimTheKey() {
        ClientReply reply = cell.call(first, new ClientCall.Settle(WORKSPACE, KEY, outcome(Outcome.RAN)));

        assertEquals("not-claimed", failed(reply).failure().code());
    }

    private ClientReply claim(CellHost host, String digest) {
        return cell.call(host, new ClientCall.Claim(WORKSPACE, KEY, digest));
    }

    private void settle(Outcome outcome) {
        ClientReply reply = cell.call(first, new ClientCall.Settle(WORKSPACE, KEY, outcome(outcome)));
        assertInstanceOf(ClientReply.Settled.class, reply);
    }

    private static ClientReply.Failed failed(ClientReply reply) {
        return assertInstanceOf(ClientReply.Failed.class, reply);
    }

    private static StoredOutcome outcome(Outcome outcome) {
        return new StoredOutcome(outcome, HTTP_OK, "text/plain", new byte[0]);
    }

    private static boolean writesClaim(TableRequest request) {
        return request instanceof TableRequest.Commit commit
                && commit.writes().stream().anyMatch(write -> write.key().startsWith("claim/"));
    }
}
