package org.acaciafold.proof.fuzz;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.acaciafold.coordination.ClientCall;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.core.model.JobId;
import org.acaciafold.standin.Admission;
import org.acaciafold.standin.LiveCall;
import org.acaciafold.standin.WorkerAgent;

/**
 * Sends bursts of live requests through random entry hosts of the simulated cluster, whose requests and replies may be
 * lost.
 *
 * <p>A request that a worker refuses with the code {@code no-slot} is a violation, as the hosts must not send a worker
 * more requests than it has slots.
 */
final class LiveTraffic {
    enum Kind {
        SENT,
        GRANTED,
        RELAYED,
        ANSWERED,
        GIVEN_UP,
        REFUSED_BY_HOST,
        REFUSED_BY_WORKER
    }

    private static final long BURST_INTERVAL_MS = 250;
    private static final long PAUSE_POLL_INTERVAL_MS = 20;
    private static final int MAX_BURST = 12;
    private static final int MAX_RUN_MS = 1_500;
    private static final int RUNS_PER_LONG_RUN = 8;
    private static final int MAX_LONG_RUN_MS = 12_000;
    private static final int MAX_DEADLINE_MS = 4_000;

    private final World world;
    private final Random random;
    private final Map<Kind, Long> counts = new EnumMap<>(Kind.class);
    private final Map<String, Long> refusals = new TreeMap<>();
    private long lastRequest;
    private boolean stopped;

    LiveTraffic(World world, long seed) {
        this.world = world;
        this.random = new Random(seed);
    }

    /** Starts to send bursts at a fixed interval until {@link #stop} is called. */
    void start() {
        world.network().schedule(BURST_INTERVAL_MS, this::sendBurst);
    }

    void stop() {
        stopped = true;
    }

    long count(Kind kind) {
        return counts.getOrDefault(kind, 0L);
    }

    /** Returns the number of requests that hosts refused, by error code. */
    Map<String, Long> refusals() {
        return refusals;
    }

    private void sendBurst() {
        if (stopped) {
            return;
        }
        List<Clients.AcceptedJob> services = world.clients().acceptedJobs().entrySet().stream()
                .filter(job -> job.getValue().shape() == Action.Shape.SERVICE && isActive(job.getKey()))
                .map(Map.Entry::getValue)
                .toList();
        if (!services.isEmpty()) {
            Clients.AcceptedJob service = services.get(random.nextInt(services.size()));
            int burst = 1 + random.nextInt(MAX_BURST);
            for (int request = 0; request < burst; request++) {
                acquireSlot(world.anyHost(), service, world.nowMs() + 100 + random.nextInt(MAX_DEADLINE_MS), false);
            }
        }
        world.network().schedule(BURST_INTERVAL_MS, this::sendBurst);
    }

    private void acquireSlot(SimHost host, Clients.AcceptedJob service, long deadlineMs, boolean relayed) {
        long leftMs = deadlineMs - world.nowMs();
        if (leftMs <= 0) {
            return;
        }
        add(relayed ? Kind.RELAYED : Kind.SENT);
        String name = "service" + service.tasks();
        ClientCall call = new ClientCall.AcquireSlot(service.workspace(), name, leftMs, relayed);
        world.clients()
                .call(host, call, reply -> runWhenResumed(host, () -> handleReply(host, service, deadlineMs, reply)));
    }

    private void handleReply(SimHost host, Clients.AcceptedJob service, long deadlineMs, ClientReply reply) {
        switch (reply) {
            case ClientReply.SlotGranted granted -> new SlotUse(host, granted, deadlineMs).send();
            case ClientReply.SlotElsewhere elsewhere ->
                world.host(elsewhere.owner())
                        .ifPresent(owner -> world.network()
                                .send(
                                        host.location(),
                                        owner.location(),
                                        () -> acquireSlot(owner, service, deadlineMs, true)));
            case ClientReply.Failed failed -> countRefusal(failed.failure().code());
            default -> throw new IllegalStateException("unexpected " + reply);
        }
    }

    private void countRefusal(String code) {
        add(Kind.REFUSED_BY_HOST);
        refusals.merge(code, 1L, Long::sum);
    }

    private void add(Kind kind) {
        counts.merge(kind, 1L, Long::sum);
    }

    private boolean isActive(JobId job) {
        return !world.oracle().isCancelled(job) && !world.clients().endedJobs().containsKey(job);
    }

    private long runMs() {
        return 1 + random.nextInt(random.nextInt(RUNS_PER_LONG_RUN) == 0 ? MAX_LONG_RUN_MS : MAX_RUN_MS);
    }

    private void runWhenResumed(SimHost host, Runnable action) {
        if (host.paused(world.nowMs())) {
            world.network().schedule(PAUSE_POLL_INTERVAL_MS, () -> runWhenResumed(host, action));
        } else if (host.alive()) {
            action.run();
        }
    }

    /** Sends one request with an acquired slot and releases the slot afterwards. */
    private final class SlotUse {
        private final SimHost holder;
        private final ClientReply.SlotGranted slot;
        private final SimWorker worker;
        private final long startMs;
        private final long deadlineMs;
        private boolean delivered;
        private boolean released;

        private SlotUse(SimHost holder, ClientReply.SlotGranted slot, long deadlineMs) {
            this.holder = holder;
            this.slot = slot;
            this.worker = world.worker(slot.worker());
            this.startMs = world.nowMs();
            this.deadlineMs = deadlineMs;
        }

        private void send() {
            add(Kind.GRANTED);
            world.network().send(holder.location(), worker.location(), this::deliver);
            long leftMs = Math.max(1, deadlineMs - world.nowMs());
            world.network().schedule(leftMs, () -> runWhenResumed(holder, () -> release(Kind.GIVEN_UP, false, false)));
        }

        private void deliver() {
            if (delivered || !worker.alive()) {
                return;
            }
            delivered = true;
            WorkerAgent agent = worker.agent();
            String id = "live-" + ++lastRequest;
            LiveCall call =
                    new LiveCall(id, slot.serviceWorkspace(), service(), slot.fence(), slot.leaseSequence(), "");
            switch (agent.begin(call, world.nowMs())) {
                case Admission.Admitted admitted ->
                    world.network().schedule(runMs(), () -> end(agent, admitted.number()));
                case Admission.Rejected rejected -> {
                    if (rejected.failure().code().equals("no-slot")) {
                        String message = "worker " + worker.id() + " received more requests than it has slots";
                        world.oracle().reportViolation(world.nowMs(), message);
                    }
                    sendReply(() -> release(Kind.REFUSED_BY_WORKER, false, true));
                }
            }
        }

        private void end(WorkerAgent agent, long number) {
            agent.end(number, world.nowMs());
            sendReply(() -> release(Kind.ANSWERED, true, true));
        }

        private void sendReply(Runnable action) {
            world.network().send(worker.location(), holder.location(), () -> runWhenResumed(holder, action));
        }

        private void release(Kind outcome, boolean succeeded, boolean ended) {
            if (released) {
                return;
            }
            released = true;
            add(outcome);
            long tookMs = world.nowMs() - startMs;
            ClientCall call = new ClientCall.ReleaseSlot(slot.slot(), succeeded, ended, tookMs);
            world.clients().call(holder, call, ignored -> {});
        }

        /**
         * Returns the name of a service of the workspace that runs on this worker.
         *
         * <p>It need not be the service that was requested, as the worker counts slots independently of the service.
         */
        private String service() {
            return worker.tasks(world.nowMs()).stream()
                    .map(task -> task.spec())
                    .filter(spec -> spec.workspace().equals(slot.serviceWorkspace())
                            && spec.name().startsWith("service"))
                    .map(spec -> spec.name())
                    .findFirst()
                    .orElse("gone");
        }
    }
}
