package org.acaciafold.proof.fuzz;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.acaciafold.coordination.ClientCall;
import org.acaciafold.coordination.ClientReply;
import org.acaciafold.coordination.JobPhase;
import org.acaciafold.coordination.JobRequest;
import org.acaciafold.coordination.StoredOutcome;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.Outcome;
import org.acaciafold.core.model.Priority;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkspaceId;

/** Simulates the callers and operators of a cluster and reports the replies that they receive to the oracle. */
final class Clients {
    static final int WORKSPACES = 3;
    private static final List<Action.Shape> PROBES =
            List.of(Action.Shape.BATCH, Action.Shape.EXCLUSIVE, Action.Shape.GANG);
    private static final long POLL_MS = 500;
    private static final int HTTP_OK = 200;
    private static final int MEMORY_MIB_PER_CORE = 1_024;

    private final World world;
    private final Oracle oracle;
    private final Map<Long, Consumer<ClientReply>> waiting = new HashMap<>();
    private final Map<JobId, Accepted> accepted = new TreeMap<>();
    private final Map<JobId, JobPhase> ended = new TreeMap<>();
    private final Map<String, String> heldKeys = new TreeMap<>();
    private final Set<String> probesAccepted = new TreeSet<>();
    private List<String> waitingFor = List.of();
    private long lastCall;
    private long lastOrder;

    Clients(World world, Oracle oracle) {
        this.world = world;
        this.oracle = oracle;
    }

    static Resources limit(int cores) {
        return Resources.of(cores * 1_000L, (long) cores * MEMORY_MIB_PER_CORE, 4);
    }

    static WorkspaceId workspace(int index) {
        return WorkspaceId.of("t" + index % WORKSPACES);
    }

    static String workspaceText(int cores) {
        return """
                [workspace]
                weight = 1.0
                limit-cpu = %dcores
                limit-memory = %dMiB
                limit-accelerators = 4
                rehome-after = 60s
                queue-limit = 100
                """.formatted(cores, cores * MEMORY_MIB_PER_CORE);
    }

    /** Delivers the reply to a call; a call that has had its reply or is unknown is ignored. */
    void answered(long call, ClientReply reply) {
        Consumer<ClientReply> then = waiting.remove(call);
        if (then != null) {
            then.accept(reply);
        }
    }

    /** Calls a host; the reply may never arrive. */
    void call(SimHost host, ClientCall body, Consumer<ClientReply> then) {
        long call = ++lastCall;
        waiting.put(call, then);
        host.receive(new org.acaciafold.coordination.Event.ClientCalled(call, body));
    }

    /** Cancels every n-th accepted job. */
    void cancelWave(int every) {
        int index = 0;
        for (JobId job : accepted.keySet()) {
            if (index++ % every == 0) {
                cancel(job);
            }
        }
    }

    /** Cancels all services, so that only jobs that end by themselves remain. */
    void cancelServices() {
        accepted.forEach((job, what) -> {
            if (what.shape() == Action.Shape.SERVICE && !oracle.isCancelled(job)) {
                cancel(job);
            }
        });
    }

    /** Queries the state of each accepted job that is not known to have ended. */
    void pollJobs() {
        accepted.forEach((job, what) -> {
            if (!ended.containsKey(job)) {
                call(world.anyHost(), new ClientCall.QueryJob(what.workspace(), job), reply -> notePhase(job, reply));
            }
        });
    }

    /** Returns the accepted jobs that are not known to have ended. */
    Map<JobId, Accepted> unfinished() {
        Map<JobId, Accepted> left = new TreeMap<>(accepted);
        left.keySet().removeAll(ended.keySet());
        return left;
    }

    Map<JobId, Accepted> accepted() {
        return accepted;
    }

    Map<JobId, JobPhase> ended() {
        return ended;
    }

    /** Claims an idempotency key, perhaps one claimed before, and executes its request if the claim succeeds. */
    void hold(int key, SimHost host) {
        String name = "k" + key;
        heldKeys.put(name, name);
        ClientCall.Claim claim = new ClientCall.Claim(workspace(0), name, "digest-" + name);
        call(host, claim, reply -> {
            if (reply instanceof ClientReply.Claimed) {
                execute(name, host);
            }
        });
    }

    /** Claims each idempotency key again; each claim must get a final reply. */
    void repeatHolds() {
        heldKeys.keySet().forEach(name -> {
            ClientCall.Claim claim = new ClientCall.Claim(workspace(0), name, "digest-" + name);
            SimHost host = world.anyHost();
            call(host, claim, reply -> {
                world.counts().add(FuzzCounts.Kind.HOLDS_REPEATED);
                heldKeys.put(name, "answered " + reply.getClass().getSimpleName());
                switch (reply) {
                    case ClientReply.Claimed ignored -> execute(name, host);
                    case ClientReply.Repeated repeated -> checkRepeat(name, repeated);
                    default -> heldKeys.put(name, name);
                }
            });
        });
    }

    /** Returns whether each request with an idempotency key has a final reply. */
    boolean holdsAnswered() {
        return heldKeys.values().stream().allMatch(state -> state.startsWith("answered"));
    }

    /** Returns the entry hosts that have not acknowledged an edit, as the last reply about an edit reported them. */
    List<String> waitingFor() {
        return waitingFor;
    }

    /** Sends an edit of a workspace's limit. */
    void setLimit(int workspace, int cores, SimHost host) {
        WorkspaceId id = workspace(workspace);
        Resources limit = limit(cores);
        edit(host, "workspace/" + id, workspaceText(cores), new Sent() {
            @Override
            public void sent(long order) {
                oracle.limitSent(id, limit, order);
            }

            @Override
            public void accepted(long order) {
                oracle.limitAccepted(id, limit, order);
            }
        });
    }

    /** Sends an edit that takes a domain out of service or returns it to service. */
    void setDomain(String domain, boolean out, SimHost host) {
        String text = "[domain]\ntaken-out = " + out + "\nslices = 1\n";
        edit(host, "domain/" + domain, text, new Sent() {
            @Override
            public void sent(long order) {
                if (!out) {
                    oracle.domainMayReturn(domain, order);
                }
            }

            @Override
            public void accepted(long order) {
                oracle.domainAccepted(domain, out, order);
                world.note("domain " + domain + (out ? " is out of service" : " is in service"));
            }
        });
    }

    /** Submits a job. */
    void submit(Action.Submit what, SimHost host) {
        submit(what, host, "");
    }

    /**
     * Submits one batch, exclusive and gang job for each workspace, unless it has been accepted.
     *
     * <p>Each job has an idempotency key, so a repeated submission returns the first job.
     */
    void submitProbes() {
        for (int workspace = 0; workspace < WORKSPACES; workspace++) {
            for (Action.Shape shape : PROBES) {
                String key = "probe-" + workspace + "-" + shape;
                if (!probesAccepted.contains(key)) {
                    submit(new Action.Submit(workspace, shape, 2, 2, 0), world.anyHost(), key);
                }
            }
        }
    }

    /** Returns whether all jobs of {@link #submitProbes} are accepted. */
    boolean probesAccepted() {
        return probesAccepted.size() == WORKSPACES * PROBES.size();
    }

    private void submit(Action.Submit what, SimHost host, String key) {
        WorkspaceId workspace = workspace(what.workspace());
        call(host, new ClientCall.Submit(workspace, key, request(what)), reply -> {
            if (reply instanceof ClientReply.Submitted submitted) {
                world.counts().add(FuzzCounts.Kind.JOBS_ACCEPTED);
                accepted.put(submitted.job(), new Accepted(workspace, what.shape(), what.tasks()));
                if (!key.isEmpty()) {
                    probesAccepted.add(key);
                }
            }
        });
    }

    private void cancel(JobId job) {
        Accepted what = accepted.get(job);
        call(world.anyHost(), new ClientCall.Cancel(what.workspace(), job), reply -> {
            if (reply instanceof ClientReply.Cancelling) {
                oracle.cancelled(job);
            }
        });
    }

    private void checkRepeat(String name, ClientReply.Repeated repeated) {
        boolean ran = oracle.executions(name) > 0;
        boolean saysRan = repeated.outcome()
                .map(outcome -> outcome.outcome() == Outcome.RAN)
                .orElse(ran);
        if (ran != saysRan) {
            oracle.violate(
                    world.nowMs(),
                    "request " + name + " executed: " + ran + ", but its stored outcome reports executed: " + saysRan);
        }
    }

    private void edit(SimHost host, String subtree, String text, Sent sent) {
        call(host, new ClientCall.QuerySettings(subtree), reply -> {
            if (reply instanceof ClientReply.SettingsFound found) {
                long order = ++lastOrder;
                String id = "edit-" + order;
                sent.sent(order);
                ClientCall edit = new ClientCall.EditSettings(id, subtree, found.version(), Optional.of(text));
                call(host, edit, state -> follow(id, order, state, sent));
            }
        });
    }

    private void execute(String name, SimHost host) {
        oracle.executed(world.nowMs(), name);
        world.counts().add(FuzzCounts.Kind.HOLDS_EXECUTED);
        StoredOutcome outcome = new StoredOutcome(Outcome.RAN, HTTP_OK, "text/plain", new byte[0]);
        call(host, new ClientCall.Settle(workspace(0), name, outcome), ignored -> {});
    }

    private void follow(String id, long order, ClientReply reply, Sent sent) {
        if (!(reply instanceof ClientReply.EditState state)) {
            return;
        }
        waitingFor = state.waitingFor();
        if (state.accepted()) {
            world.counts().add(FuzzCounts.Kind.EDITS_ACCEPTED);
            sent.accepted(order);
            return;
        }
        world.network().later(POLL_MS, () -> poll(id, order, sent));
    }

    private void poll(String id, long order, Sent sent) {
        boolean[] answered = {false};
        call(world.anyHost(), new ClientCall.QueryEdit(id), reply -> {
            answered[0] = true;
            if (reply instanceof ClientReply.EditState) {
                follow(id, order, reply, sent);
            } else {
                world.network().later(POLL_MS, () -> poll(id, order, sent));
            }
        });
        world.network().later(10 * POLL_MS, () -> {
            if (!answered[0]) {
                poll(id, order, sent);
            }
        });
    }

    private void notePhase(JobId job, ClientReply reply) {
        if (!(reply instanceof ClientReply.JobFound found)) {
            return;
        }
        switch (found.status().phase()) {
            case SUCCEEDED, FAILED, CANCELLED -> noteEnd(job, found.status().phase());
            case WAITING, RUNNING -> world.noteStatus(job, found.status());
            default -> throw new IllegalStateException("unknown phase");
        }
    }

    private void noteEnd(JobId job, JobPhase phase) {
        if (ended.put(job, phase) == null) {
            world.counts()
                    .add(
                            switch (phase) {
                                case SUCCEEDED -> FuzzCounts.Kind.JOBS_SUCCEEDED;
                                case CANCELLED -> FuzzCounts.Kind.JOBS_CANCELLED;
                                default -> FuzzCounts.Kind.JOBS_FAILED;
                            });
        }
    }

    private static JobRequest request(Action.Submit what) {
        int tasks = what.tasks();
        JobKind kind =
                switch (what.shape()) {
                    case SERVICE -> new JobKind.Service(tasks);
                    case GANG -> new JobKind.Gang(tasks);
                    case BATCH, EXCLUSIVE, TOO_LARGE -> new JobKind.Batch(tasks, OptionalLong.empty());
                };
        long cores = what.shape() == Action.Shape.TOO_LARGE ? 1_000 : 1;
        Resources demand = Resources.of(cores * 1_000, MEMORY_MIB_PER_CORE, 0);
        boolean exclusive = what.shape() == Action.Shape.EXCLUSIVE;
        long runMs = 1_000L * what.seconds();
        String name = what.shape().name().toLowerCase(java.util.Locale.ROOT) + what.tasks();
        return new JobRequest(name, kind, demand, Priority.NORMAL, exclusive, runMs, "run=" + runMs);
    }

    record Accepted(WorkspaceId workspace, Action.Shape shape, int tasks) {}

    private interface Sent {
        void sent(long order);

        void accepted(long order);
    }
}
