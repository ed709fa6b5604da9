package org.acaciafold.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.acaciafold.fleet.Job;
import org.acaciafold.platform.EmulatedClient;
import org.acaciafold.platform.EmulatedPlatform;
import org.acaciafold.settings.EntrySettings;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;
import reactor.util.function.Tuple2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests complete hosts against an emulated platform. */
class EntryHostTest {
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long NANOS_PER_MS = 1_000_000;

    /** How long a client waits when its request has no deadline. */
    private static final long CLIENT_DEADLINE_MS = 3_000;

    /** Default time within which a configuration version must be in force. */
    private static final long CONFIG_APPLY_MS = 2_000;

    private static final Duration LOAD_PERIOD = Duration.ofMillis(50);
    private static final int CONNECTIONS = 4;
    private static final int TASKS = 3;
    private static final long SHORT_TASK_MS = 50;
    private static final long LONG_TASK_MS = 60_000;

    /** Longer than a key of the store. */
    private static final String LONG_IDENTIFIER = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
            + "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
            + "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
            + "0123456789abcdef";

    private final LoopResources loops = LoopResources.create("test", 1, true);
    private final List<EntryHost> hosts = new ArrayList<>();
    private EmulatedPlatform platform;

    private EmulatedClient host(String id) throws Exception {
        return host(id, 1);
    }

    private EmulatedClient host(String id, double processors) throws Exception {
        return host(id, processors, platform.address());
    }

    private EmulatedClient host(String id, double processors, String store) throws Exception {
        EntrySettings settings = TrainingRun.settings(id, processors, store);
        hosts.add(EntryHost.start(settings));
        EmulatedClient client = EmulatedClient.of(loops, settings.consumers());
        await("a fresh configuration at " + id, client.pending(), OK);
        return client;
    }

    private static <T> void await(String what, Mono<T> call, T expected) {
        Awaitility.await(what)
                .atMost(LIMIT)
                .until(() -> call.map(expected::equals).onErrorReturn(false).block(LIMIT));
    }

    @AfterEach
    void stop() {
        hosts.forEach(EntryHost::stop);
        platform.close();
        loops.dispose();
    }

    @Test
    void shouldCompleteAJobAndReportItsStateOnEveryHost() throws Exception {
        platform = EmulatedPlatform.start(2, SHORT_TASK_MS);
        EmulatedClient first = host("first");
        EmulatedClient second = host("second");

        assertEquals(OK, second.submit("j1", TASKS).block(LIMIT));
        assertEquals(OK, first.submit("j1", TASKS).block(LIMIT));

        await("the end at the second host", second.state("j1"), "completed");
        await("the end at the first host", first.state("j1"), "completed");
        assertEquals(2 * TASKS, platform.starts());
    }

    @Test
    void shouldScheduleOtherJobsWhenOneCannotBeScheduled() throws Exception {
        platform = EmulatedPlatform.start(2, SHORT_TASK_MS);
        EmulatedClient client = host("only");
        List<String> invalidBodies = List.of(
                "{\"steps\":[{\"count\":1,\"after\":[5]}]}",
                "{\"steps\":[{\"count\":2000000000}]}",
                "{\"steps\":[{\"count\":9}],\"repeat_count\":2000000000}",
                "{\"steps\":[{\"count\":1}],\"repeat_count\":2000000000,\"interval_ms\":60000}",
                "{\"steps\":[{\"count\":1e400}]}",
                "{\"steps\":[{\"cpu\":1000000000000000000000000000000}]}",
                "{\"steps\":[{\"estimate_ms\":1e400}]}",
                "{\"steps\":[{\"mem_mb\":-1e400}]}",
                "{\"steps\":" + "[".repeat(1_001),
                "{\"steps\":" + "[".repeat(100_000),
                "{\"steps\":7}",
                "{\"steps\":[[[");

        for (int i = 0; i < invalidBodies.size(); i++) {
            byte[] body = invalidBodies.get(i).getBytes(StandardCharsets.UTF_8);
            assertEquals(BAD_REQUEST, client.submit("bad-" + i, body).block(LIMIT), invalidBodies.get(i));
        }

        assertEquals(OK, client.submit("good", TASKS).block(LIMIT));
        await("the end of the good job", client.state("good"), "completed");
        assertEquals(1, platform.highestToken());
    }

    @Test
    void shouldStartNoTaskOfAJobWhenItIsCancelled() throws Exception {
        platform = EmulatedPlatform.start(2, LONG_TASK_MS);
        EmulatedClient client = host("only");
        assertEquals(OK, client.submit("j1", TASKS).block(LIMIT));
        await("the first tasks", Mono.fromSupplier(platform::starts), (long) TASKS);

        assertEquals(OK, client.cancel("j1").block(LIMIT));

        await("the cancelled state", client.state("j1"), "cancelled");
        assertEquals(TASKS, platform.starts());
    }

    /** Guards against a job that runs although its cancellation was answered while the write of the job was under way. */
    @Test
    void shouldStartNoTaskWhenTheJobIsCreatedAfterItsCancellation() throws Exception {
        platform = EmulatedPlatform.start(2, SHORT_TASK_MS);
        EmulatedClient client = host("only");
        assertEquals(GONE, client.cancel("late").block(LIMIT));
        assertEquals("", client.state("late").block(LIMIT));

        byte[] record = StoreRecords.encode(JobWatchTest.job("late"), Job.class);
        platform.write(StoreRecords.JOBS, StoreRecords.partitionOf(StoreRecords.JOBS, "late"), "late", record);

        await("the cancelled state", client.state("late"), "cancelled");
        assertEquals(OK, client.submit("later", TASKS).block(LIMIT));
        await("the end of a later job", client.state("later"), "completed");
        assertEquals(2 * TASKS, platform.starts());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", LONG_IDENTIFIER})
    void shouldReportAJobAsGoneWhenItsIdentifierCannotBeStored(String id) throws Exception {
        platform = EmulatedPlatform.start(2, SHORT_TASK_MS);

        assertEquals(GONE, host("only").cancel(id).block(LIMIT));
    }

    @Test
    void shouldStartNothingWhileTheFailureDomainIsEvacuated() throws Exception {
        platform = EmulatedPlatform.start(2, SHORT_TASK_MS);
        platform.evacuate(EmulatedPlatform.DOMAIN, true);
        EmulatedClient client = host("only");
        assertEquals(OK, client.submit("j1", TASKS).block(LIMIT));
        assertEquals(OK, client.submit("j2", TASKS).block(LIMIT));
        assertEquals(0, platform.starts());

        platform.evacuate(EmulatedPlatform.DOMAIN, false);

        await("the end", client.state("j1"), "completed");
    }

    @Test
    void shouldRejectJobsAtOnceWhenTheStoreIsUnresponsive() throws Exception {
        platform = EmulatedPlatform.start(2, SHORT_TASK_MS);
        EmulatedClient client = host("only");
        platform.setUnresponsive(true);
        assertEquals(GATEWAY_TIMEOUT, client.submit("j1", TASKS).block(LIMIT));

        long startedAtMs = System.nanoTime() / NANOS_PER_MS;
        assertEquals(UNAVAILABLE, client.submit("j2", TASKS).block(LIMIT));
        assertTrue(System.nanoTime() / NANOS_PER_MS - startedAtMs < CLIENT_DEADLINE_MS / 2);

        platform.setUnresponsive(false);
        await("the second job's acceptance", client.submit("j2", TASKS), OK);
        await("its end", client.state("j2"), "completed");
    }

    @Test
    void shouldAnswerBeforeTheClientsDeadlineWhenTheStoreIsSlow() throws Exception {
        platform = EmulatedPlatform.start(2, SHORT_TASK_MS);
        EmulatedClient client = host("only");
        platform.setStoreDelay(800);

        long longest = Flux.range(0, 12)
                .flatMap(job -> client.submit("j" + job, TASKS).elapsed(), CONNECTIONS)
                .map(Tuple2::getT1)
                .reduce(Math::max)
                .block(LIMIT);

        assertTrue(longest < CLIENT_DEADLINE_MS, "took " + longest + " ms");
        platform.setStoreDelay(0);
    }

    @Test
    void shouldNeverRunAJobWhenItWasRejected() throws Exception {
        platform = EmulatedPlatform.start(2, SHORT_TASK_MS);
        EmulatedClient client = host("only");
        platform.setUnresponsive(true);
        client.submit("unknown", TASKS).block(LIMIT);
        assertEquals(UNAVAILABLE, client.submit("refused", TASKS).block(LIMIT));

        platform.setUnresponsive(false);
        await("a later job's acceptance", client.submit("later", TASKS), OK);
        await("its end", client.state("later"), "completed");

        assertEquals("", client.state("refused").block(LIMIT));
    }

    /** Guards against a job that runs after a repeat of its request was told that it never will. */
    @Test
    void shouldNotRejectARepeatWhileAnEarlierWriteOfTheJobMayStillBeApplied() throws Exception {
        platform = EmulatedPlatform.start(2, SHORT_TASK_MS);
        String storeAddress = platform.openStorePort(platform.address());
        EmulatedClient client = host("only", 1, storeAddress);
        platform.setUnresponsive(true);
        assertEquals(GATEWAY_TIMEOUT, client.submit("j1", TASKS).block(LIMIT));
        assertEquals(GATEWAY_TIMEOUT, client.submit("j1", TASKS).block(LIMIT));

        platform.rejectWrites(storeAddress, true);
        platform.setUnresponsive(false);

        await("a response of the store", client.submit("other", TASKS), UNAVAILABLE);
        assertEquals(GATEWAY_TIMEOUT, client.submit("j1", TASKS).block(LIMIT));
        platform.rejectWrites(storeAddress, false);
        await("the acceptance of the job", client.submit("j1", TASKS), OK);
    }

    @Test
    void shouldLeadInTheAcquiredTermWhenTheAnswerWasLost() throws Exception {
        platform = EmulatedPlatform.start(2, SHORT_TASK_MS);
        platform.loseAnswers(1);
        EmulatedClient client = host("only");

        assertEquals(OK, client.submit("j1", TASKS).block(LIMIT));

        await("the end", client.state("j1"), "completed");
        assertEquals(1, platform.highestToken());
    }

    @Test
    void shouldHandLeadershipOverWhenAMuchLargerHostIsAlive() throws Exception {
        platform = EmulatedPlatform.start(2, SHORT_TASK_MS);
        EmulatedClient small = host("small", 0.36);
        assertEquals(OK, small.submit("j1", TASKS).block(LIMIT));
        await("the first job's end", small.state("j1"), "completed");
        assertEquals(1, platform.highestToken());

        EmulatedClient large = host("large", 0.75);

        await("the term of the larger host", Mono.fromSupplier(platform::highestToken), 2L);
        assertEquals(OK, small.submit("j2", TASKS).block(LIMIT));
        await("the second job's end", large.state("j2"), "completed");
        assertEquals(2 * 2 * TASKS, platform.starts());
    }

    /** Guards against failing clients' requests while the store rejects one host for seconds and serves the others. */
    @Test
    void shouldAcceptAndCancelJobsThroughTheLeaderWhenTheStoreRejectsTheHost() throws Exception {
        platform = EmulatedPlatform.start(2, LONG_TASK_MS);
        EmulatedClient leader = host("leader");
        String storeAddress = platform.openStorePort(platform.address());
        EmulatedClient other = host("other", 1, storeAddress);
        assertEquals(OK, leader.submit("before", TASKS).block(LIMIT));
        await("the leader's job states at the other host", other.state("before"), "running");

        platform.rejectRequests(storeAddress, true);

        assertEquals(OK, other.submit("j1", TASKS).block(LIMIT));
        await("its first task", leader.state("j1"), "running");
        assertEquals(OK, other.cancel("j1").block(LIMIT));
        await("its cancellation", leader.state("j1"), "cancelled");
        long rejectedSinceMs = System.nanoTime() / NANOS_PER_MS;
        Awaitility.await("longer than a version may take to be in force")
                .atMost(LIMIT)
                .until(() -> System.nanoTime() / NANOS_PER_MS - rejectedSinceMs > 2 * CONFIG_APPLY_MS);
        assertEquals(OK, other.submit("j2", TASKS).block(LIMIT));
        platform.rejectRequests(storeAddress, false);
    }

    /** Guards against a leader that sends heartbeats while it cannot renew its lease, so that no host takes over. */
    @Test
    void shouldFinishJobsWhenTheStoreRejectsOnlyTheLeadersWrites() throws Exception {
        platform = EmulatedPlatform.start(2, SHORT_TASK_MS);
        String storeAddress = platform.openStorePort(platform.address());
        EmulatedClient leader = host("leader", 1, storeAddress);
        EmulatedClient other = host("other");
        assertEquals(OK, leader.submit("before", TASKS).block(LIMIT));
        await("the first job's end", other.state("before"), "completed");
        assertEquals(1, platform.highestToken());

        platform.rejectWrites(storeAddress, true);

        // the leader keeps reading new jobs, so that the store does not appear unresponsive to it
        Disposable load = Flux.interval(LOAD_PERIOD)
                .concatMap(number -> other.submit("load-" + number, TASKS).onErrorComplete())
                .subscribe();
        await("a job's acceptance", other.submit("j1", TASKS), OK);
        await("its end", other.state("j1"), "completed");
        load.dispose();
        platform.rejectWrites(storeAddress, false);
    }

    @Test
    void shouldFinishAJobWhenItsLeaderStops() throws Exception {
        platform = EmulatedPlatform.start(2, SHORT_TASK_MS);
        EmulatedClient first = host("first");
        EmulatedClient second = host("second");
        assertEquals(OK, first.submit("j1", TASKS).block(LIMIT));

        hosts.removeFirst().stop();

        assertEquals(OK, second.submit("j2", TASKS).block(LIMIT));
        await("the first job's end", second.state("j1"), "completed");
        await("the second job's end", second.state("j2"), "completed");
        assertEquals(4 * TASKS, platform.starts());
    }
}
