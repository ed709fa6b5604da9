package org.acaciafold.daemon;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;

import org.acaciafold.coordination.HostConfig;
import org.acaciafold.coordination.HostCore;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Clock;
import org.acaciafold.daemon.request.LiveRequestServices;
import org.acaciafold.settings.HostSettings;
import org.acaciafold.settings.HostTimings;
import org.acaciafold.wire.PeerServer;
import org.acaciafold.wire.TcpPeerTransport;
import org.acaciafold.wire.WireCounters;
import org.acaciafold.wire.WireIdentity;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;

/**
 * An entry host: the state machine and its connections to callers, operators, peers, workers and the platform.
 *
 * <p>Example: {@code EntryHost host = EntryHost.start(settings); ... boolean incomplete = host.stop();}
 */
public final class EntryHost {
    private static final Logger LOG = LoggerFactory.getLogger(EntryHost.class);
    private static final Duration REQUESTS_LIMIT = Duration.ofSeconds(20);
    private static final Duration HANDOVER_LIMIT = Duration.ofSeconds(30);
    private static final Duration CLOSE_LIMIT = Duration.ofSeconds(2);

    private final AtomicBoolean stopping = new AtomicBoolean();
    private final Disposable.Composite polling = Disposables.composite();
    private Tracing tracing;
    private CoreLoop loop;
    private TcpPeerTransport transport;
    private PeerServer peers;
    private HttpListener callers;
    private HttpListener operators;

    private EntryHost() {}

    /**
     * Returns a builder for an entry host.
     *
     * @param settings the host's settings file
     * @return a builder
     */
    public static Builder builder(HostSettings settings) {
        return new Builder(settings);
    }

    /**
     * Starts an entry host with the default clients, clock and request services.
     *
     * @param settings the host's settings file
     * @return the running host
     * @throws AcaciafoldException when an address cannot be bound or the settings are invalid
     */
    public static EntryHost start(HostSettings settings) throws AcaciafoldException {
        return builder(settings).start();
    }

    /**
     * Returns the address to which callers connect.
     *
     * @return an IP address and a port
     */
    public String callersAddress() {
        return callers.address();
    }

    /**
     * Returns a signal that ends when the state machine no longer runs.
     *
     * @return an error signal when the state machine has failed; completes after the handover
     */
    public Mono<Void> ended() {
        return loop.ended();
    }

    /**
     * Returns the address to which operators connect.
     *
     * @return an IP address and a port
     */
    public String operatorsAddress() {
        return operators.address();
    }

    /**
     * Returns the address to which peers connect.
     *
     * @return an IP address and a port
     */
    public String peersAddress() {
        return peers.address();
    }

    /**
     * Returns whether the host serves callers.
     *
     * @return true when it is not stopping, has read the host list and the settings, and the state machine runs
     */
    public boolean ready() {
        return !stopping.get() && loop.snapshot().ready();
    }

    /**
     * Stops gracefully: rejects new requests, hands over everything and drains the requests in progress.
     *
     * @return whether a request was aborted or the handover was incomplete
     */
    public boolean stop() {
        if (!stopping.compareAndSet(false, true)) {
            return false;
        }
        LOG.info("stopping");
        Mono<Boolean> handover = loop.stop()
                .thenReturn(false)
                .timeout(HANDOVER_LIMIT, Mono.just(true))
                .onErrorReturn(true)
                .cache();
        handover.subscribe();
        boolean incomplete = callers.stop(REQUESTS_LIMIT);
        incomplete |= Boolean.TRUE.equals(handover.block());
        incomplete |= Boolean.TRUE.equals(peers.stop(REQUESTS_LIMIT).block());
        release();
        LOG.info("stopped{}", incomplete ? "; requests were aborted or slices were not handed over" : "");
        return incomplete;
    }

    private void release() {
        polling.dispose();
        if (transport != null) {
            transport.close().timeout(CLOSE_LIMIT, Mono.empty()).block();
        }
        if (loop != null) {
            loop.dispose();
        }
        if (operators != null) {
            operators.stop(CLOSE_LIMIT);
        }
        if (tracing != null) {
            tracing.close();
        }
    }

    /** Closes everything that a failed start has already opened. */
    private void closeAfterFailedStart() {
        if (callers != null) {
            callers.stop(CLOSE_LIMIT);
        }
        if (peers != null) {
            peers.stop(Duration.ZERO).block();
        }
        release();
    }

    private void open(Builder builder) throws AcaciafoldException {
        HostSettings settings = builder.settings;
        HostMetrics metrics = HostMetrics.create();
        WireCounters counters = WireCounters.create();
        WireIdentity identity = new WireIdentity(settings.host(), settings.clusterSecret());
        metrics.watch(counters);
        tracing = Tracing.create(settings.observability(), settings.host());
        transport = TcpPeerTransport.create(identity, builder.clock, counters);
        HostCore core = HostCore.of(config(settings), builder.clock);
        loop = CoreLoop.start(
                StateMachine.of(core), EffectRunner.of(builder.clients, transport, metrics, tracing), metrics);
        RequestServices requestServices = builder.requestServices.create(
                new RequestContext(settings, loop, transport, loop::snapshot, metrics, tracing, builder.clock));
        peers = PeerServer.start(
                settings.addresses().peers(),
                identity,
                counters,
                PeerInbox.of(loop, metrics),
                requestServices.relays());
        AccessKeys keys = AccessKeys.of(() -> loop.snapshot().settings());
        CallerApi callerApi =
                new CallerApi(loop, keys, requestServices.live(), metrics, tracing, settings.maxBodyBytes());
        callers = HttpListener.bind("callers", settings.addresses().callers(), callerApi::routes);
        OperatorApi operatorApi =
                new OperatorApi(loop, settings.operatorKey(), metrics, this::ready, settings.maxBodyBytes());
        operators = HttpListener.bind("operators", settings.addresses().operators(), operatorApi::routes);
        polling.add(HostListPoller.start(builder.clients.hosts(), loop));
    }

    private static HostConfig config(HostSettings settings) {
        HostTimings timings = settings.timings();
        SecureRandom random = new SecureRandom();
        long incarnation = random.nextLong(1, Long.MAX_VALUE);
        return HostConfig.builder(settings.host(), settings.domain(), incarnation)
                .heartbeatMs(timings.heartbeatMs())
                .controlLeaseMs(timings.controlLeaseMs())
                .taskLeaseMs(timings.taskLeaseMs())
                .callTimeoutMs(timings.callTimeoutMs())
                .clockMarginMs(timings.clockMarginMs())
                .seed(random.nextLong())
                .build();
    }

    /** Prepares an entry host. */
    public static final class Builder {
        private final HostSettings settings;
        private PlatformClients clients;
        private RequestServices.Factory requestServices = LiveRequestServices::create;
        private Clock clock = Clock.system();

        private Builder(HostSettings settings) {
            this.settings = Objects.requireNonNull(settings, "settings");
        }

        /**
         * Sets the clients of the platform and the workers; by default they use HTTP.
         *
         * @param value the clients
         * @return this builder
         */
        public Builder clients(PlatformClients value) {
            clients = value;
            return this;
        }

        /**
         * Sets the clock.
         *
         * @param value the clock
         * @return this builder
         */
        public Builder clock(Clock value) {
            clock = value;
            return this;
        }

        /**
         * Sets the factory of the services that answer live requests.
         *
         * @param value the factory
         * @return this builder
         */
        public Builder requestServices(RequestServices.Factory value) {
            requestServices = value;
            return this;
        }

        /**
         * Starts the host.
         *
         * @return the running host
         * @throws AcaciafoldException when an address cannot be bound or the settings are invalid
         */
        public EntryHost start() throws AcaciafoldException {
            LogSetup.apply(settings.observability());
            if (clients == null) {
                clients = PlatformClients.http(settings);
            }
            if (requestServices == null) {
                requestServices = LiveRequestServices::create;
            }
            EntryHost host = new EntryHost();
            try {
                host.open(this);
            } catch (AcaciafoldException e) {
                host.closeAfterFailedStart();
                throw e;
            }
            LOG.info("entry host {} of failure domain {} started", settings.host(), settings.domain());
            return host;
        }
    }
}
