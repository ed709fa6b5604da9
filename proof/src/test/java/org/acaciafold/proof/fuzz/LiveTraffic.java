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

    private static final long ROUND_MS = 250;
    private static final long AWAKE_POLL_MS = 20;
    private static final int LARGEST_BURST = 12;
    private static final int LONGEST_RUN_MS = 1_500;
    private static final int ONE_LONG_IN = 8;
    private static final int LONGEST_LONG_RUN_MS = 12_000;
    private static final int LONGEST_DEADLINE_MS = 4_000;

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
        world.network().later(ROUND_MS, this::round);
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

    private void round() {
        if (stopped) {
            return;
        }
        List<Clients.Accepted> services = world.clients().accepted().entrySet().stream()
                .filter(job -> job.getValue().shape() == Action.Shape.SERVICE && wanted(job.getKey()))
                .map(Map.Entry::getValue)
                .toList();
        if (!services.isEmpty()) {
            Clients.Accepted service = services.get(random.nextInt(services.size()));
            int burst = 1 + random.nextInt(LARGEST_BURST);
            for (int request = 0; request < burst; request++) {
                ask(world.anyHost(), service, world.nowMs() + 100 + random.nextInt(LONGEST_DEADLINE_MS), false);
            }
        }
        world.network().later(ROUND_MS, this::round);
    }

    private void ask(SimHost host, Clients.Accepted service, long deadlineMs, boolean relayed) {
        long leftMs = deadlineMs - world.nowMs();
        if (leftMs <= 0) {
            return;
        }
        add(relayed ? Kind.RELAYED : Kind.SENT);
        String name = "service" + service.tasks();
        ClientCall call = new ClientCall.AcquireSlot(service.workspace(), name, leftMs, relayed);
        world.clients()
                .call(host, call, reply -> whenAwake(host, () -> continueWith(host, service, deadlineMs, reply)));
    }

    private void continueWith(SimHost host, Clients.Accepted service, long deadlineMs, ClientReply reply) {
        switch (reply) {
            case ClientReply.SlotGranted granted -> new Use(host, granted, deadlineMs).send();
            case ClientReply.SlotElsewhere elsewhere ->
                world.host(elsewhere.owner())
                        .ifPresent(owner -> world.network()
                                .send(host.place(), owner.place(), () -> ask(owner, service, deadlineMs, true)));
            case ClientReply.Failed failed -> refused(failed.failure().code());
            default -> throw new IllegalStateException("unexpected " + reply);
        }
    }

    private void refused(String code) {
        add(Kind.REFUSED_BY_HOST);
        refusals.merge(code, 1L, Long::sum);
    }

    private void add(Kind kind) {
        counts.merge(kind, 1L, Long::sum);
    }

    private boolean wanted(JobId job) {
        return !world.oracle().isCancelled(job) && !world.clients().ended().containsKey(job);
    }

    private long runMs() {
        return 1 + random.nextInt(random.nextInt(ONE_LONG_IN) == 0 ? LONGEST_LONG_RUN_MS : LONGEST_RUN_MS);
    }

    private void whenAwake(SimHost host, Runnable action) {
        if (host.paused(world.nowMs())) {
            world.network().later(AWAKE_POLL_MS, () -> whenAwake(host, action));
        } else if (host.alive()) {
            action.run();
        }
    }

    /** Sends one request with an acquired slot and releases the slot afterwards. */
    private final class Use {
        private final SimHost holder;
        private final ClientReply.SlotGranted slot;
        private final SimWorker worker;
        private final long startMs;
        private final long deadlineMs;
        private boolean arrived;
        private boolean released;

        private Use(SimHost holder, ClientReply.SlotGranted slot, long deadlineMs) {
            this.holder = holder;
            this.slot = slot;
            this.worker = world.worker(slot.worker());
            this.startMs = world.nowMs();
            this.deadlineMs = deadlineMs;
        }

        private void send() {
            add(Kind.GRANTED);
            world.network().send(holder.place(), worker.place(), this::arrive);
            long leftMs = Math.max(1, deadlineMs - world.nowMs());
            world.network().later(leftMs, () -> whenAwake(holder, () -> release(Kind.GIVEN_UP, false, false)));
        }

        private void arrive() {
            if (arrived || !worker.alive()) {
                return;
            }
            arrived = true;
            WorkerAgent agent = worker.agent();
            String id = "live-" + ++lastRequest;
            LiveCall call =
                    new LiveCall(id, slot.serviceWorkspace(), service(), slot.fence(), slot.leaseSequence(), "");
            switch (agent.begin(call, world.nowMs())) {
                case Admission.Admitted admitted -> world.network().later(runMs(), () -> end(agent, admitted.number()));
                case Admission.Rejected rejected -> {
                    if (rejected.failure().code().equals("no-slot")) {
                        String message = "worker " + worker.id() + " received more requests than it has slots";
                        world.oracle().violate(world.nowMs(), message);
                    }
                    answer(() -> release(Kind.REFUSED_BY_WORKER, false, true));
                }
            }
        }

        private void end(WorkerAgent agent, long number) {
            agent.end(number, world.nowMs());
            answer(() -> release(Kind.ANSWERED, true, true));
        }

        private void answer(Runnable action) {
            world.network().send(worker.place(), holder.place(), () -> whenAwake(holder, action));
        }

        private void release(Kind how, boolean succeeded, boolean ended) {
            if (released) {
                return;
            }
            released = true;
            add(how);
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
