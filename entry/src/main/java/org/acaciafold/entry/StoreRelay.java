package org.acaciafold.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.acaciafold.fleet.FleetConfig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Relays row creations and configuration checks through the leader while the store rejects this host's requests, and
 * serves such requests of peers when this host leads.
 *
 * <p>A row that the leader creates is as durable as one that this host creates. Without a response the outcome is
 * unknown rather than not done, since the request may still arrive.
 */
final class StoreRelay {
    private static final Logger LOG = LoggerFactory.getLogger(StoreRelay.class);

    /** The store confirms the configuration once a second; an older one is confirmed through the leader. */
    private static final long MAX_VIEW_AGE_MS = 1_200;

    /**
     * Period of the requests to the leader, a third of the shortest time within which a configuration version must be
     * in force.
     */
    private static final long VIEW_REQUEST_PERIOD_MS = 300;

    /** Covers the round trip to the leader and a transaction of some ten milliseconds that is retried once. */
    private static final long RESPONSE_TIMEOUT_MS = 1_200;

    private static final Set<String> RELAYED_TABLES = Set.of(StoreRecords.JOBS, StoreRecords.CANCELLATIONS);

    private final String address;
    private final Timers loop;
    private final RowCreator rows;
    private final ConfigWatch config;
    private final BiConsumer<String, PeerMessage> bus;
    private final Supplier<Optional<String>> leader;
    private final Map<Long, Sinks.One<StoreAccess.Creation>> pendingRows = new HashMap<>();
    private long lastNumber;
    private long viewRequestNumber;
    private long viewRequestedAtMs;
    private long viewRequestedAtWallMs;

    /**
     * Creates the relay of a host.
     *
     * @param address the address at which peers reach this host
     * @param loop the host's timers
     * @param rows creates rows in the store
     * @param config the host's configuration watch
     * @param bus sends a message to an address
     * @param leader returns the address of the leader; empty when this host leads or receives no heartbeats of a leader
     */
    StoreRelay(
            String address,
            Timers loop,
            RowCreator rows,
            ConfigWatch config,
            BiConsumer<String, PeerMessage> bus,
            Supplier<Optional<String>> leader) {
        this.address = address;
        this.loop = loop;
        this.rows = rows;
        this.config = config;
        this.bus = bus;
        this.leader = leader;
    }

    /** Returns whether another host leads and can be reached. */
    boolean available() {
        return leader.get().isPresent();
    }

    /**
     * Creates a row through the leader.
     *
     * @param table the table
     * @param key the key
     * @param value the value
     * @return what is known about the creation; not done when there is no leader to relay it
     */
    Mono<StoreAccess.Creation> create(String table, String key, byte[] value) {
        Optional<String> to = leader.get();
        if (to.isEmpty()) {
            return Mono.just(StoreAccess.Creation.NOT_DONE);
        }
        long number = ++lastNumber;
        Sinks.One<StoreAccess.Creation> sink = Sinks.one();
        pendingRows.put(number, sink);
        loop.after(RESPONSE_TIMEOUT_MS, () -> complete(number, StoreAccess.Creation.UNKNOWN));
        bus.accept(to.get(), new PeerMessage.RowWanted(address, number, table, key, value));
        return sink.asMono();
    }

    /** Requests the leader's configuration version when this host's configuration has not been confirmed for long. */
    void confirmView() {
        Optional<String> to = leader.get();
        if (to.isPresent() && config.config().isPresent() && config.ageMs() > MAX_VIEW_AGE_MS) {
            viewRequestNumber = ++lastNumber;
            viewRequestedAtMs = loop.nowMs();
            viewRequestedAtWallMs = loop.wallMs();
            bus.accept(to.get(), new PeerMessage.ViewWanted(address, viewRequestNumber));
        }
    }

    void start() {
        loop.after(VIEW_REQUEST_PERIOD_MS, this::start);
        confirmView();
    }

    void receive(PeerMessage.ThroughLeader message) {
        switch (message) {
            case PeerMessage.RowWanted wanted -> createFor(wanted);
            case PeerMessage.RowAnswered answered -> complete(answered.number(), answered.outcome());
            case PeerMessage.ViewWanted wanted -> sendView(wanted);
            case PeerMessage.ViewAnswered answered -> applyView(answered);
        }
    }

    private void createFor(PeerMessage.RowWanted wanted) {
        if (!RELAYED_TABLES.contains(wanted.table())) {
            LOG.warn(
                    "peer requested a row in a table that is not relayed table={} key={}",
                    wanted.table(),
                    wanted.key());
            return;
        }
        String partition = StoreRecords.partitionOf(wanted.table(), wanted.key());
        rows.create(wanted.table(), partition, wanted.key(), wanted.value())
                .subscribe(outcome -> loop.execute(() -> {
                    LOG.info(
                            "row for a peer table={} key={} peer={} outcome={}",
                            wanted.table(),
                            wanted.key(),
                            wanted.address(),
                            outcome);
                    bus.accept(wanted.address(), new PeerMessage.RowAnswered(wanted.number(), outcome));
                }));
    }

    private void complete(long number, StoreAccess.Creation outcome) {
        Optional.ofNullable(pendingRows.remove(number)).ifPresent(sink -> sink.tryEmitValue(outcome));
    }

    private void sendView(PeerMessage.ViewWanted wanted) {
        config.config()
                .map(FleetConfig::version)
                .ifPresent(version -> bus.accept(
                        wanted.address(), new PeerMessage.ViewAnswered(wanted.number(), version, config.ageMs())));
    }

    /**
     * Confirms the configuration when the leader has the same version. The leader's version is proven to be the newest
     * only as of the time of the request less the age that the leader reports.
     */
    private void applyView(PeerMessage.ViewAnswered answered) {
        boolean same = config.config().map(FleetConfig::version).equals(Optional.of(answered.version()));
        if (same && answered.number() == viewRequestNumber) {
            config.confirm(viewRequestedAtMs - answered.ageMs(), viewRequestedAtWallMs - answered.ageMs());
        }
    }

    /** Creates rows in the store. */
    @FunctionalInterface
    interface RowCreator {
        /** Creates a row that does not exist yet, and returns what is known about the creation. */
        Mono<StoreAccess.Creation> create(String table, String partition, String key, byte[] value);
    }
}
