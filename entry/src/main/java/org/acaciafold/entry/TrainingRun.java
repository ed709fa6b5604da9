package org.acaciafold.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.platform.EmulatedClient;
import org.acaciafold.platform.EmulatedPlatform;
import org.acaciafold.settings.EntrySettings;
import org.acaciafold.settings.EntrySettingsReader;
import org.acaciafold.settings.SettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/**
 * Runs two hosts on loopback against an emulated platform, and a job from its submission to its end.
 *
 * <p>The classes that it loads go into the startup archive, so that a restarted host serves jobs sooner.
 */
final class TrainingRun {
    private static final Logger LOG = LoggerFactory.getLogger(TrainingRun.class);
    private static final String SETTINGS = """
            [host]
            id = %s
            failure-domain = north
            processors = %s
            [listen]
            consumers = 127.0.0.1:%d
            readiness = 127.0.0.1:%d
            peers = 127.0.0.1:%d
            [platform]
            store = %s
            advice = %s
            [cluster]
            secret = rehearsal-of-a-start
            [bounds]
            grace-s = 1
            """;

    private static final int PORTS = 3;
    private static final int WORKERS = 3;
    private static final int TASKS = 2;
    private static final long TASK_MS = 50;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final long POLL_MS = 50;
    private static final long COMPLETION_TIMEOUT_MS = 20_000;

    /** Time for peers to connect and to exchange heartbeats. */
    private static final long PEER_CONNECT_MS = 1_000;

    private TrainingRun() {}

    static void run() throws SettingsException, AcaciafoldException, InterruptedException, IOException {
        try (EmulatedPlatform platform = EmulatedPlatform.start(WORKERS, TASK_MS)) {
            EntrySettings first = settings("first", platform.address());
            EntryHost leader = EntryHost.start(first);
            EntryHost follower = EntryHost.start(settings("second", platform.address()));
            Thread.sleep(PEER_CONNECT_MS);
            LoopResources loops = LoopResources.create("consumer", 1, true);
            EmulatedClient client = EmulatedClient.of(loops, first.consumers());
            awaitReply(client.submit("rehearsed", TASKS));
            awaitReply(client.submit("cancelled", TASKS));
            awaitReply(client.pending());
            awaitReply(client.cancel("cancelled"));
            awaitEnd(client);
            leader.stop();
            follower.stop();
        }
    }

    /**
     * Returns the settings of a host on loopback with unused ports.
     *
     * @param id the host's identifier
     * @param platform the address of the emulated platform
     */
    static EntrySettings settings(String id, String platform) throws SettingsException, IOException {
        return settings(id, 1, platform);
    }

    static EntrySettings settings(String id, double processors, String platform) throws SettingsException, IOException {
        List<Integer> ports = freePorts();
        String text = SETTINGS.formatted(id, processors, ports.get(0), ports.get(1), ports.get(2), platform, platform);
        return EntrySettingsReader.read("rehearsal", text);
    }

    /** Waits for a response; a failure is logged, and the training run continues. */
    private static <T> void awaitReply(Mono<T> call) {
        call.doOnError(error -> LOG.warn("call of the training run failed", error))
                .onErrorResume(error -> Mono.empty())
                .block(CALL_TIMEOUT);
    }

    private static void awaitEnd(EmulatedClient client) throws InterruptedException {
        long endsAtNanos =
                System.nanoTime() + Duration.ofMillis(COMPLETION_TIMEOUT_MS).toNanos();
        while (System.nanoTime() < endsAtNanos) {
            String state = client.state("rehearsed").onErrorReturn("").block(CALL_TIMEOUT);
            if ("completed".equals(state)) {
                LOG.info("training run complete");
                return;
            }
            Thread.sleep(POLL_MS);
        }
        LOG.warn("training run incomplete; the startup archive lacks classes");
    }

    private static List<Integer> freePorts() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        try {
            for (int i = 0; i < PORTS; i++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                sockets.add(socket);
                ports.add(socket.getLocalPort());
            }
            return ports;
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }
}
