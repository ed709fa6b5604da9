package org.acaciafold.proof.soak;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.acaciafold.platform.EmulatedClient;
import reactor.core.publisher.Mono;

/** Callers that submit jobs, retry unsuccessful submissions, query job states and cancel some jobs. */
final class Callers {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(8);
    private static final int ATTEMPTS = 4;
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int NO_ANSWER = 0;
    private static final long PAUSE_MS = 250;
    private static final int CANCEL_ONE_IN = 12;

    private final List<EmulatedClient> hosts;
    private final Invariants invariants;
    private final int cpuMillis;
    private final AtomicInteger lastJobNumber = new AtomicInteger();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicInteger activeCallers = new AtomicInteger();

    Callers(List<EmulatedClient> hosts, Invariants invariants, int cpuMillis) {
        this.hosts = hosts;
        this.invariants = invariants;
        this.cpuMillis = cpuMillis;
    }

    /** Starts the given number of callers, each with a random generator of its own. */
    void start(int count, long seed) {
        for (int number = 0; number < count; number++) {
            Random random = new Random(seed * 1_000 + number);
            activeCallers.incrementAndGet();
            Thread.ofVirtual().start(() -> {
                try {
                    work(random);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                } finally {
                    activeCallers.decrementAndGet();
                }
            });
        }
    }

    /** Stops the callers after their current job and waits until all have returned. */
    void stop() throws InterruptedException {
        stopped.set(true);
        while (activeCallers.get() > 0) {
            Thread.sleep(PAUSE_MS);
        }
    }

    /** Returns the state of a job that one host reports, or an empty string if the host returns none. */
    String state(int host, String job) {
        String state = hosts.get(host).state(job).onErrorReturn("").block(CALL_TIMEOUT);
        if (!state.isEmpty()) {
            invariants.stateReported(job, state);
        }
        return state;
    }

    private void work(Random random) throws InterruptedException {
        while (!stopped.get()) {
            String job = "%016x".formatted(lastJobNumber.incrementAndGet());
            int tasks = 1 + random.nextInt(5);
            if (submit(job, tasks, random)) {
                if (random.nextInt(CANCEL_ONE_IN) == 0) {
                    cancel(job, random);
                }
                state(random.nextInt(hosts.size()), job);
            }
            Thread.sleep(random.nextLong(PAUSE_MS));
        }
    }

    private boolean submit(String job, int tasks, Random random) throws InterruptedException {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            invariants.submitted(job, tasks);
            int status = status(anyHost(random).submit(job, tasks, cpuMillis, false));
            invariants.answered(job, status);
            if (status == OK) {
                return true;
            }
            Thread.sleep(ThreadLocalRandom.current().nextLong(2 * PAUSE_MS));
        }
        return false;
    }

    private void cancel(String job, Random random) throws InterruptedException {
        invariants.cancelling(job);
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            int status = status(anyHost(random).cancel(job));
            if (status == OK || status == GONE) {
                invariants.cancelled(job);
                return;
            }
            Thread.sleep(PAUSE_MS);
        }
    }

    private EmulatedClient anyHost(Random random) {
        return hosts.get(random.nextInt(hosts.size()));
    }

    private static int status(Mono<Integer> call) {
        return call.onErrorReturn(NO_ANSWER).block(CALL_TIMEOUT);
    }
}
