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
 * Reaches the store through the leader while the store turns this host away, and does the same for others.
 *
 * <p>A row that the leader has created is as durable as one of this host's own. Without an answer its outcome is unknown,
 * never not done: the question may still arrive.
 */
final class StoreRelay {
    private static final Logger LOG = LoggerFactory.getLogger(StoreRelay.class);

    /** A view is confirmed by the store once a second; an older one is asked for at the leader. */
    private static final long MAX_VIEW_AGE_MS = 1_200;

    /** How often the leader is asked, a third of the time in which a version has to be in force at the least. */
    private static final long VIEW_REQUEST_PERIOD_MS = 300;

    /** The way to the leader and back, and a transaction of some ten milliseconds that is repeated once. */
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
     * @param address where peers reach this host
     * @param loop the host's thread
     * @param rows creates rows in the store
     * @param config the host's view of the configuration
     * @param bus sends a message to an address
     * @param leader returns the address of the leader; empty when this host leads or hears none
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

    /** Tells whether there is a leader to ask. */
    boolean available() {
        return leader.get().isPresent();
    }

    /**
     * Creates a row through the leader.
     *
     * @param table the table
     * @param key the key
     * @param value the value
     * @return what is known of it; not done when there is no leader to ask
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

    /** Asks the leader for its view of the configuration when this host's is old. */
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
            LOG.warn("row of another table is not created for a peer table={} key={}", wanted.table(), wanted.key());
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

    /** The leader's view was right no later than when it was asked for, less its age. */
    private void applyView(PeerMessage.ViewAnswered answered) {
        boolean same = config.config().map(FleetConfig::version).equals(Optional.of(answered.version()));
        if (same && answered.number() == viewRequestNumber) {
            config.confirm(viewRequestedAtMs - answered.ageMs(), viewRequestedAtWallMs - answered.ageMs());
        }
    }

    /** Creates rows in the store. */
    @FunctionalInterface
    interface RowCreator {
        /** Creates a row that does not exist yet, and returns what is known of it. */
        Mono<StoreAccess.Creation> create(String table, String partition, String key, byte[] value);
    }
}
