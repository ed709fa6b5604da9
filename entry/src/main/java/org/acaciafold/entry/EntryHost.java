package org.acaciafold.entry;

import java.nio.charset.StandardCharsets;

import org.acaciafold.clients.JsonHttp;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Step;
import org.acaciafold.fleet.scheduling.SchedulerTerms;
import org.acaciafold.platform.AdviceCalls;
import org.acaciafold.platform.RowStore;
import org.acaciafold.platform.WorkerCalls;
import org.acaciafold.settings.EntrySettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An entry host: takes jobs from consumers, and one of all hosts schedules them. */
final class EntryHost {
    private static final Logger LOG = LoggerFactory.getLogger(EntryHost.class);
    private static final int STORE_CONNECTIONS = 24;

    /** A renewal that waits, and orders beside it. */
    private static final int WORKER_CONNECTIONS = 8;

    private static final int ADVICE_CONNECTIONS = 2;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /** Workers' leases are a little shorter than the most that they accept, so that none is cut unnoticed. */
    private static final long LEASE_RESERVE_MS = 1_000;

    /** An older view of the configuration makes this host refuse requests, so that the platform looks elsewhere. */
    private static final long READY_CONFIG_AGE_MS = 2_200;

    /** After a stop is asked for, requests go on arriving until the platform has noticed it. */
    private static final long LAST_REQUESTS_MS = 2_600;

    /** Part of the time to stop that is left for closing connections and the process. */
    private static final long CLOSING_MS = 900;

    private static final long STOP_POLL_MS = 50;

    /** How often jobs that ended long ago are forgotten, small against the ten minutes for which they are kept. */
    private static final long FORGET_PERIOD_MS = 10_000;

    private final Loop loop;
    private final EntrySettings settings;
    private final JobDirectory directory;
    private HostContext context;
    private Leadership leadership;
    private ConsumerServer consumers;
    private ConsumerServer readiness;
    private PeerBus bus;
    private volatile boolean stopping;

    private EntryHost(EntrySettings settings) {
        this.settings = settings;
        this.loop = Loop.start();
        this.directory = new JobDirectory(loop::nowMs);
    }

    static EntryHost start(EntrySettings settings) throws AcaciafoldException {
        EntryHost host = new EntryHost(settings);
        host.open();
        LOG.info("started host={} domain={} settings={}", settings.host(), settings.domain(), settings);
        return host;
    }

    /** Stops without cutting a request; returns when all is closed. */
    void stop() {
        LOG.info("stopping host={}", settings.host());
        loop.execute(() -> {
            stopping = true;
            leadership.stop(() -> LOG.info("leadership settled"));
        });
        long endsAtMs =
                loop.nowMs() + Math.max(LAST_REQUESTS_MS, settings.bounds().graceMs() - CLOSING_MS);
        long quietAtMs =
                loop.nowMs() + Math.min(LAST_REQUESTS_MS, settings.bounds().graceMs() / 2);
        while (loop.nowMs() < quietAtMs || !consumers.quiet() && loop.nowMs() < endsAtMs) {
            if (!pause()) {
                break;
            }
        }
        consumers.close();
        readiness.close();
        bus.close();
        LOG.info("stopped host={}", settings.host());
    }

    private void open() throws AcaciafoldException {
        StoreAccess store =
                new StoreAccess(RowStore.of(http("store", STORE_CONNECTIONS, Step.TABLE), settings.store()), loop);
        ConfigWatch config = new ConfigWatch(store, loop, () -> leadership.configured());
        bus = PeerBus.start(settings, loop, (from, message) -> leadership.receive(from, message));
        context = new HostContext(
                settings.host(),
                loop,
                store,
                new TermStore(store),
                config,
                bus,
                WorkerCalls.of(http("workers", WORKER_CONNECTIONS, Step.WORKER)),
                AdviceCalls.of(http("advice", ADVICE_CONNECTIONS, Step.PLACEMENT), settings.advice()));
        SchedulerTerms terms = new SchedulerTerms(
                settings.bounds().leaseMaxMs() - LEASE_RESERVE_MS,
                settings.bounds().stopMs());
        leadership = new Leadership(context, settings.peers(), loop.wallMs(), terms, directory);
        Consumers answers =
                new Consumers(context, leadership, directory, settings.bounds().configApplyMs());
        consumers = ConsumerServer.listen(settings.consumers(), loop, answers::answer, () -> stopping);
        readiness = ConsumerServer.readiness(settings.readiness(), loop, new Answers());
        loop.execute(config::start);
        loop.every(FORGET_PERIOD_MS, directory::forgetOld);
        leadership.start();
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

    /** What the platform and operators are told. */
    private final class Answers implements ConsumerServer.Readiness {
        @Override
        public int status() {
            boolean ready = !stopping
                    && context.config().config().isPresent()
                    && context.config().ageMs() < READY_CONFIG_AGE_MS;
            return ready ? OK : UNAVAILABLE;
        }

        @Override
        public byte[] metrics() {
            return ("acaciafold_leader " + (leadership.leads() ? 1 : 0) + "\n").getBytes(StandardCharsets.UTF_8);
        }
    }
}
