package org.acaciafold.entry;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.acaciafold.clients.JsonHttp;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Step;
import org.acaciafold.fleet.FleetConfig;
import org.acaciafold.fleet.scheduling.SchedulerLimits;
import org.acaciafold.platform.AdviceClient;
import org.acaciafold.platform.RowStoreClient;
import org.acaciafold.platform.WorkerAgentClient;
import org.acaciafold.settings.EntrySettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An entry host. Each host accepts jobs from clients; the one that leads schedules them. */
final class EntryHost {
    private static final Logger LOG = LoggerFactory.getLogger(EntryHost.class);
    private static final int STORE_CONNECTIONS = 24;

    /** A long poll that renews the worker's lease, and commands sent at the same time. */
    private static final int WORKER_CONNECTIONS = 8;

    private static final int ADVICE_CONNECTIONS = 2;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private static final long STOP_POLL_MS = 50;

    /** A call to this host itself takes milliseconds, while it starts up to some tens of them. */
    private static final long WARM_UP_TIMEOUT_MS = 500;

    /** Refresh period, and so the maximum age, of the fleet gauges; metrics are not read more often. */
    private static final long SUMMARY_PERIOD_MS = 1_000;

    /** Eviction period of jobs that ended long ago, short against the ten minutes for which they are kept. */
    private static final long EVICTION_PERIOD_MS = 10_000;

    private final HostEventLoop loop;
    private final EntrySettings settings;
    private final JobStateCache jobStates;
    private final HostMetrics metrics = new HostMetrics();
    private HostContext context;
    private Leadership leadership;
    private StoreRelay relay;
    private ClientServer clientServer;
    private ClientServer readiness;
    private Optional<ClientServer> metricsServer = Optional.empty();
    private PeerBus bus;
    private volatile boolean stopping;

    private EntryHost(EntrySettings settings) {
        this.settings = settings;
        this.loop = HostEventLoop.start();
        this.jobStates = new JobStateCache(loop::nowMs);
    }

    static EntryHost start(EntrySettings settings) throws AcaciafoldException {
        EntryHost host = new EntryHost(settings);
        host.open();
        LOG.info("started host={} domain={} settings={}", settings.host(), settings.domain(), settings);
        return host;
    }

    /** Stops gracefully: hands leadership over, completes open requests, and returns when everything is closed. */
    void stop() {
        LOG.info("stopping host={}", settings.host());
        loop.execute(() -> {
            stopping = true;
            leadership.stop(() -> LOG.info("leadership stopped"));
        });
        DrainPeriod period = DrainPeriod.begin(loop.nowMs(), settings.bounds().graceMs());
        while (!period.over(loop.nowMs(), clientServer.hasOpenRequests())) {
            if (!pause()) {
                break;
            }
        }
        clientServer.close();
        readiness.close();
        metricsServer.ifPresent(ClientServer::close);
        bus.close();
        LOG.info("stopped host={}", settings.host());
    }

    private void open() throws AcaciafoldException {
        StoreAccess store = new StoreAccess(
                RowStoreClient.of(http("store", STORE_CONNECTIONS, Step.TABLE), settings.store()), loop, metrics);
        ConfigWatch config = new ConfigWatch(store, loop, () -> leadership.applyConfig());
        bus = PeerBus.start(settings, loop, this::receive);
        MalformedRows malformed = new MalformedRows(metrics);
        RecordReader records = new RecordReader(malformed);
        context = new HostContext(
                settings.host(),
                loop,
                store,
                malformed,
                records,
                new TermStore(store, records),
                config,
                bus,
                WorkerAgentClient.of(http("workers", WORKER_CONNECTIONS, Step.WORKER)),
                AdviceClient.of(http("advice", ADVICE_CONNECTIONS, Step.PLACEMENT), settings.advice()),
                metrics,
                new LeaderView());
        SchedulerLimits limits = SchedulerLimits.of(
                settings.bounds().leaseMaxMs(),
                settings.bounds().stopMs(),
                settings.bounds().limitOverage());
        leadership = new Leadership(context, settings, loop.wallMs(), limits, jobStates);
        relay = new StoreRelay(
                settings.advertisedPeers(),
                loop,
                store::create,
                config,
                bus::send,
                () -> leadership.otherLeader().map(LeaseRecord::address));
        ClientApi clientApi = new ClientApi(
                context, leadership, relay, jobStates, settings.bounds().configApplyMs());
        BooleanSupplier ready = () -> !stopping && clientApi.canAcceptJobs();
        // connections stay with their host, so clients reach another one only by a new connection
        clientServer = ClientServer.listen(
                settings.consumers(), loop, clientApi::handle, metrics, () -> !ready.getAsBoolean());
        HostReadiness statusSource =
                new HostReadiness(ready, new ExplainApi(settings.host(), context.view(), leadership::otherLeader));
        readiness = ClientServer.readiness(settings.readiness(), loop, statusSource);
        metricsServer = metricsServer(statusSource);
        loop.execute(config::start);
        loop.every(EVICTION_PERIOD_MS, jobStates::evictExpired);
        leadership.start();
        loop.execute(relay::start);
        warmUp();
        registerMetrics(config);
    }

    /**
     * Rehearses scheduling, and calls the readiness check of this host as a leader calls workers: with a body, and each
     * time on a new connection, since a new leader has no connections to the workers.
     */
    private void warmUp() {
        JsonHttp http = http("warm-up", 1, Step.SETTINGS);
        byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
        Map<String, String> headers = Map.of("content-type", "application/json", "connection", "close");
        JsonHttp.Call check = new JsonHttp.Call("POST", settings.readiness(), "/", headers, body, WARM_UP_TIMEOUT_MS);
        SchedulingWarmUp scheduling = new SchedulingWarmUp();
        LeaderWarmUp warmUp =
                new LeaderWarmUp(loop, leadership::mayLeadNext, scheduling::step, () -> http.exchange(check));
        loop.execute(warmUp::run);
    }

    private void receive(String from, PeerMessage message) {
        switch (message) {
            case PeerMessage.Leading leading -> leadership.receive(from, leading);
            case PeerMessage.ThroughLeader relayed -> relay.receive(relayed);
        }
    }

    /** Starts the optional metrics listener; a port in use must not prevent the host from starting. */
    private Optional<ClientServer> metricsServer(HostReadiness statusSource) {
        if (settings.metrics().isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(ClientServer.readiness(settings.metrics(), loop, statusSource));
        } catch (AcaciafoldException e) {
            LOG.warn(
                    "metrics are served only at {}, cannot listen at {}: {}",
                    settings.readiness(),
                    settings.metrics(),
                    e.getMessage());
            return Optional.empty();
        }
    }

    private void registerMetrics(ConfigWatch config) {
        metrics.gauge("leader", leadership, source -> source.leads() ? 1 : 0);
        metrics.gauge("term", leadership, Leadership::epoch);
        metrics.gauge("lease.age.ms", leadership, Leadership::leaseAgeMs);
        metrics.gauge(
                "configuration.version",
                config,
                source -> source.config().map(FleetConfig::version).orElse(0L));
        metrics.gauge("configuration.age.ms", config, ConfigWatch::ageMs);
        metrics.gauge("jobs.known", jobStates, JobStateCache::size);
        metrics.functionCounter("log.lines.dropped", this, host -> QueueAppender.dropped());
        loop.every(SUMMARY_PERIOD_MS, leadership::updateFleetGauges);
        loop.every(SUMMARY_PERIOD_MS, () -> {
            metrics.standing(context.view().standing());
            metrics.away(context.view().away());
        });
    }

    private JsonHttp http(String name, int connections, Step step) {
        return JsonHttp.on(loop.resources(), name, connections, step);
    }

    private static boolean pause() {
        try {
            Thread.sleep(STOP_POLL_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** The readiness and the metrics of this host, and what it knows of jobs. */
    private final class HostReadiness implements ClientServer.Readiness {
        private final BooleanSupplier ready;
        private final ExplainApi explainApi;

        private HostReadiness(BooleanSupplier ready, ExplainApi explainApi) {
            this.ready = ready;
            this.explainApi = explainApi;
        }

        @Override
        public int status() {
            return ready.getAsBoolean() ? OK : UNAVAILABLE;
        }

        @Override
        public ClientReply explain(String job) {
            return explainApi.explain(job);
        }

        @Override
        public byte[] metrics() {
            return metrics.scrape().getBytes(StandardCharsets.UTF_8);
        }
    }
}
