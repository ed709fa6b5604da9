package org.acaciafold.entry;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.acaciafold.platform.EmulatedClient;
import org.acaciafold.platform.EmulatedPlatform;
import org.acaciafold.settings.EntrySettings;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Covers what an operator is told who asks a host why a job waits. */
class ExplainTest {
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int NOT_LEADER = 421;
    private static final int TASKS = 3;
    private static final long TASK_MS = 50;

    private final LoopResources loops = LoopResources.create("test", 1, true);
    private final HttpClient http = HttpClient.newHttpClient();
    private final EmulatedPlatform platform = EmulatedPlatform.start(2, TASK_MS);
    private final List<EntryHost> hosts = new ArrayList<>();

    private EntrySettings host(String id) throws Exception {
        EntrySettings settings = TrainingRun.settings(id, platform.address());
        hosts.add(EntryHost.start(settings));
        return settings;
    }

    private HttpResponse<String> explain(EntrySettings settings, String job) throws Exception {
        URI uri = URI.create("http://" + settings.readiness() + "/explain/" + job);
        return http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }

    private void await(EntrySettings settings, String job, int status, String text) {
        Awaitility.await(text)
                .atMost(LIMIT)
                .ignoreExceptions()
                .until(() -> explain(settings, job).statusCode() == status
                        && explain(settings, job).body().contains(text));
    }

    @AfterEach
    void stop() {
        hosts.forEach(EntryHost::stop);
        platform.close();
        loops.dispose();
        http.close();
    }

    @Test
    void shouldTellWhyTheWorkersAreNotUsedWhenAJobWaits() throws Exception {
        platform.evacuate(EmulatedPlatform.DOMAIN, true);
        EntrySettings only = host("only");
        EmulatedClient client = EmulatedClient.of(loops, only.consumers());
        Awaitility.await("acceptance")
                .atMost(LIMIT)
                .ignoreExceptions()
                .until(() -> client.submit("j1", TASKS).block(LIMIT) == OK);

        await(only, "j1", OK, "ineligible={EVACUATED=2}");

        List<String> lines = explain(only, "j1").body().lines().toList();
        assertTrue(lines.getFirst().startsWith("job job=j1 state=QUEUED "), lines.getFirst());
        assertTrue(lines.getLast().startsWith("decided by: step waits job=j1 step=0.0 "), lines.getLast());
        assertEquals(
                2,
                lines.stream()
                        .filter(line -> line.startsWith("worker not used ") && line.contains(" condition=EVACUATED "))
                        .count());
        await(only, "unheard", NOT_FOUND, "job unknown job=unheard leader=only");
    }

    @Test
    void shouldTellWhoLeadsWhenAnotherHostIsAsked() throws Exception {
        EntrySettings first = host("first");
        await(first, "j1", NOT_FOUND, "job unknown");

        EntrySettings second = host("second");

        await(second, "j1", NOT_LEADER, "not the leader host=second leader=first address=" + first.advertisedPeers());
    }
}
