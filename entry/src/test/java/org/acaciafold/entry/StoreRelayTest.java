package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciafold.entry.StoreAccess.Creation;
import org.acaciafold.platform.RowChanges;
import org.acaciafold.platform.RowPage;
import org.acaciafold.platform.StoredRow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Mono;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against failing clients' requests while the store rejects some hosts and serves the leader. */
class StoreRelayTest {
    private static final byte[] VALUE = {1};

    private final ManualTimers timers = new ManualTimers();
    private final List<PeerMessage> sent = new ArrayList<>();
    private final List<Creation> outcomes = new ArrayList<>();
    private final ConfigWatch config = new ConfigWatch(new SingleReadStore(), timers, () -> {});
    private Creation stored = Creation.CREATED;
    private Optional<String> leader = Optional.of("leader:1");
    private final StoreRelay relay = new StoreRelay(
            "self:1",
            timers,
            (table, partition, key, value) -> Mono.just(stored),
            config,
            (to, message) -> sent.add(message),
            () -> leader);

    private void create() {
        relay.create(StoreRecords.JOBS, "j1", VALUE).subscribe(outcomes::add);
    }

    @ParameterizedTest
    @EnumSource(Creation.class)
    void shouldReturnTheLeadersAnswer(Creation outcome) {
        create();
        PeerMessage.RowWanted wanted = (PeerMessage.RowWanted) sent.getLast();

        relay.receive(new PeerMessage.RowAnswered(wanted.number(), outcome));

        assertEquals(List.of(outcome), outcomes);
    }

    @Test
    void shouldReportTheOutcomeAsUnknownWhenTheLeaderDoesNotAnswer() {
        create();
        PeerMessage.RowWanted wanted = (PeerMessage.RowWanted) sent.getLast();
        timers.advance(5_000);
        relay.receive(new PeerMessage.RowAnswered(wanted.number(), Creation.NOT_DONE));

        assertEquals(List.of(Creation.UNKNOWN), outcomes);
    }

    @Test
    void shouldSendNothingWhenThereIsNoLeader() {
        leader = Optional.empty();

        create();

        assertEquals(List.of(Creation.NOT_DONE), outcomes);
        assertEquals(List.of(), sent);
    }

    @ParameterizedTest
    @EnumSource(Creation.class)
    void shouldCreateRowsForPeers(Creation outcome) {
        stored = outcome;

        relay.receive(new PeerMessage.RowWanted("peer:1", 7, StoreRecords.JOBS, "j1", VALUE));

        assertEquals(List.of(new PeerMessage.RowAnswered(7, outcome)), sent);
    }

    @Test
    void shouldCreateNoRowsOfTablesThatOnlyALeaderWrites() {
        relay.receive(new PeerMessage.RowWanted("peer:1", 7, StoreRecords.LEASES, "leader", VALUE));

        assertEquals(List.of(), sent);
    }

    @Test
    void shouldTrustTheLeadersViewAsOfTheTimeOfTheRequest() {
        config.start();
        timers.advance(2_000);
        relay.confirmView();
        PeerMessage.ViewWanted wanted = (PeerMessage.ViewWanted) sent.getLast();
        timers.advance(700);

        relay.receive(new PeerMessage.ViewAnswered(wanted.number(), 1, 40));

        assertEquals(740, config.ageMs());
    }

    @Test
    void shouldNotTrustAnotherVersionOrAnEarlierAnswer() {
        config.start();
        timers.advance(2_000);
        relay.confirmView();
        PeerMessage.ViewWanted first = (PeerMessage.ViewWanted) sent.getLast();
        timers.advance(300);
        relay.confirmView();
        PeerMessage.ViewWanted second = (PeerMessage.ViewWanted) sent.getLast();

        relay.receive(new PeerMessage.ViewAnswered(second.number(), 2, 0));
        relay.receive(new PeerMessage.ViewAnswered(first.number(), 1, 0));

        assertTrue(config.ageMs() >= 2_300);
    }

    /** A store that serves one read and never responds afterwards. */
    private static final class SingleReadStore implements ConfigWatch.Source {
        @Override
        public Mono<RowPage> readAll(String table, String partition) {
            byte[] body = "{\"version\":1,\"routes\":[],\"tenants\":[]}".getBytes(UTF_8);
            return Mono.just(new RowPage(List.of(new StoredRow("op", "", "config", body, 1, false)), false, 1, 0));
        }

        @Override
        public Mono<RowChanges> changes(String table, long after, long waitMs) {
            return Mono.never();
        }
    }
}
