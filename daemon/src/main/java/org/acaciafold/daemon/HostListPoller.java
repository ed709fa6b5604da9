package org.acaciafold.daemon;

import java.time.Duration;

import org.acaciafold.clients.HostListClient;
import org.acaciafold.coordination.Event;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Polls the host list of the platform and passes it to the state machine. */
final class HostListPoller {
    private static final Logger LOG = LoggerFactory.getLogger(HostListPoller.class);
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final HostListClient client;
    private final CoreLoop loop;
    private boolean reachable = true;

    private HostListPoller(HostListClient client, CoreLoop loop) {
        this.client = client;
        this.loop = loop;
    }

    /**
     * Starts polling.
     *
     * @param client the client of the host list
     * @param loop receives each list as an event
     * @return stops polling when disposed of
     */
    static Disposable start(HostListClient client, CoreLoop loop) {
        HostListPoller poller = new HostListPoller(client, loop);
        return Flux.interval(Duration.ZERO, INTERVAL)
                .onBackpressureDrop()
                .concatMap(tick -> poller.read(), 1)
                .subscribe();
    }

    private Mono<Void> read() {
        return Mono.defer(client::read)
                .doOnNext(hosts -> {
                    reachable = true;
                    loop.offer(new Event.HostsListed(hosts));
                })
                .then()
                .onErrorResume(error -> {
                    if (reachable) {
                        LOG.warn("cannot read the host list, keeping the last one: {}", error.toString());
                    }
                    reachable = false;
                    return Mono.empty();
                });
    }
}
