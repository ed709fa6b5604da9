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
    private static final List<Action.Shape> PROBE_SHAPES =
            List.of(Action.Shape.BATCH, Action.Shape.EXCLUSIVE, Action.Shape.GANG);
    private static final long POLL_MS = 500;
    private static final int HTTP_OK = 200;
    private static final int MEMORY_MIB_PER_CORE = 1_024;

    private final World world;
    private final Oracle oracle;
    private final Map<Long, Consumer<ClientReply>> pendingCalls = new HashMap<>();
    private final Map<JobId, AcceptedJob> acceptedJobs = new TreeMap<>();
    private final Map<JobId, JobPhase> endedJobs = new TreeMap<>();
    private final Map<String, String> keyStates = new TreeMap<>();
    private final Set<String> probesAccepted = new TreeSet<>();
    private List<String> unacknowledgedHosts = List.of();
    private long lastCall;
    private long lastEditOrder;

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

    static String workspaceSettings(int cores) {
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
    void deliverReply(long call, ClientReply reply) {
        Consumer<ClientReply> onReply = pendingCalls.remove(call);
        if (onReply != null) {
            onReply.accept(reply);
        }
    }

    /** Calls a host; the reply may never arrive. */
    void call(SimHost host, ClientCall body, Consumer<ClientReply> onReply) {
        long call = ++lastCall;
        pendingCalls.put(call, onReply);
        host.receive(new org.acaciafold.coordination.Event.ClientCalled(call, body));
    }

    /** Cancels every n-th accepted job. */
    void cancelWave(int every) {
        int index = 0;
        for (JobId job : acceptedJobs.keySet()) {
            if (index++ % every == 0) {
                cancel(job);
            }
        }
    }

    /** Cancels all services, so that only jobs that end by themselves remain. */
    void cancelServices() {
        acceptedJobs.forEach((job, details) -> {
            if (details.shape() == Action.Shape.SERVICE && !oracle.isCancelled(job)) {
                cancel(job);
            }
        });
    }

    /** Queries the state of each accepted job that is not known to have ended. */
    void pollJobs() {
        acceptedJobs.forEach((job, details) -> {
            if (!endedJobs.containsKey(job)) {
                call(
                        world.anyHost(),
                        new ClientCall.QueryJob(details.workspace(), job),
                        reply -> recordPhase(job, reply));
            }
        });
    }

    /** Returns the accepted jobs that are not known to have ended. */
    Map<JobId, AcceptedJob> unfinishedJobs() {
        Map<JobId, AcceptedJob> unfinished = new TreeMap<>(acceptedJobs);
        unfinished.keySet().removeAll(endedJobs.keySet());
        return unfinished;
    }

    Map<JobId, AcceptedJob> acceptedJobs() {
        return acceptedJobs;
    }

    Map<JobId, JobPhase> endedJobs() {
        return endedJobs;
    }

    /** Claims an idempotency key, perhaps one claimed before, and executes its request if the claim succeeds. */
    void sendKeyedRequest(int key, SimHost host) {
        String name = "k" + key;
        keyStates.put(name, name);
        ClientCall.Claim claim = new ClientCall.Claim(workspace(0), name, "digest-" + name);
        call(host, claim, reply -> {
            if (reply instanceof ClientReply.Claimed) {
                executeRequest(name, host);
            }
        });
    }

    /** Claims each idempotency key again; each claim must get a final reply. */
    void repeatKeyedRequests() {
        keyStates.keySet().forEach(name -> {
            ClientCall.Claim claim = new ClientCall.Claim(workspace(0), name, "digest-" + name);
            SimHost host = world.anyHost();
            call(host, claim, reply -> {
                world.counts().add(FuzzCounts.Kind.HOLDS_REPEATED);
                keyStates.put(name, "answered " + reply.getClass().getSimpleName());
                switch (reply) {
                    case ClientReply.Claimed ignored -> executeRequest(name, host);
                    case ClientReply.Repeated repeated -> checkRepeatedOutcome(name, repeated);
                    default -> keyStates.put(name, name);
                }
            });
        });
    }

    /** Returns whether each request with an idempotency key has a final reply. */
    boolean keyedRequestsAnswered() {
        return keyStates.values().stream().allMatch(state -> state.startsWith("answered"));
    }

    /** Returns the entry hosts that have not acknowledged an edit, as the last reply about an edit reported them. */
    List<String> unacknowledgedHosts() {
        return unacknowledgedHosts;
    }

    /** Sends an edit of a workspace's limit. */
    void setLimit(int workspace, int cores, SimHost host) {
        WorkspaceId id = workspace(workspace);
        Resources limit = limit(cores);
        edit(host, "workspace/" + id, workspaceSettings(cores), new EditListener() {
            @Override
            public void onSent(long order) {
                oracle.recordLimitSent(id, limit, order);
            }

            @Override
            public void onAccepted(long order) {
                oracle.recordLimitAccepted(id, limit, order);
            }
        });
    }

    /** Sends an edit that takes a domain out of service or returns it to service. */
    void setDomain(String domain, boolean out, SimHost host) {
        String text = "[domain]\ntaken-out = " + out + "\nslices = 1\n";
        edit(host, "domain/" + domain, text, new EditListener() {
            @Override
            public void onSent(long order) {
                if (!out) {
                    oracle.recordDomainReturnSent(domain, order);
                }
            }

            @Override
            public void onAccepted(long order) {
                oracle.recordDomainAccepted(domain, out, order);
                world.addTrace("domain " + domain + (out ? " is out of service" : " is in service"));
            }
        });
    }

    /** Submits a job. */
    void submit(Action.Submit submission, SimHost host) {
        submit(submission, host, "");
    }

    /**
     * Submits one batch, exclusive and gang job for each workspace, unless it has been accepted.
     *
     * <p>Each job has an idempotency key, so a repeated submission returns the first job.
     */
    void submitProbes() {
        for (int workspace = 0; workspace < WORKSPACES; workspace++) {
            for (Action.Shape shape : PROBE_SHAPES) {
                String key = "probe-" + workspace + "-" + shape;
                if (!probesAccepted.contains(key)) {
                    submit(new Action.Submit(workspace, shape, 2, 2, 0), world.anyHost(), key);
                }
            }
        }
    }

    /** Returns whether all jobs of {@link #submitProbes} are accepted. */
    boolean probesAccepted() {
        return probesAccepted.size() == WORKSPACES * PROBE_SHAPES.size();
    }

    private void submit(Action.Submit submission, SimHost host, String key) {
        WorkspaceId workspace = workspace(submission.workspace());
        call(host, new ClientCall.Submit(workspace, key, request(submission)), reply -> {
            if (reply instanceof ClientReply.Submitted submitted) {
                world.counts().add(FuzzCounts.Kind.JOBS_ACCEPTED);
                acceptedJobs.put(submitted.job(), new AcceptedJob(workspace, submission.shape(), submission.tasks()));
                if (!key.isEmpty()) {
                    probesAccepted.add(key);
                }
            }
        });
    }

    private void cancel(JobId job) {
        AcceptedJob details = acceptedJobs.get(job);
        call(world.anyHost(), new ClientCall.Cancel(details.workspace(), job), reply -> {
            if (reply instanceof ClientReply.Cancelling) {
                oracle.recordCancellation(job);
            }
        });
    }

    private void checkRepeatedOutcome(String name, ClientReply.Repeated repeated) {
        boolean ran = oracle.executions(name) > 0;
        boolean reportedRan = repeated.outcome()
                .map(outcome -> outcome.outcome() == Outcome.RAN)
                .orElse(ran);
        if (ran != reportedRan) {
            oracle.reportViolation(
                    world.nowMs(),
                    "request " + name + " executed: " + ran + ", but its stored outcome reports executed: "
                            + reportedRan);
        }
    }

    private void edit(SimHost host, String subtree, String text, EditListener listener) {
        call(host, new ClientCall.QuerySettings(subtree), reply -> {
            if (reply instanceof ClientReply.SettingsFound found) {
                long order = ++lastEditOrder;
                String id = "edit-" + order;
                listener.onSent(order);
                ClientCall edit = new ClientCall.EditSettings(id, subtree, found.version(), Optional.of(text));
                call(host, edit, state -> handleEditState(id, order, state, listener));
            }
        });
    }

    private void executeRequest(String name, SimHost host) {
        oracle.recordExecution(world.nowMs(), name);
        world.counts().add(FuzzCounts.Kind.HOLDS_EXECUTED);
        StoredOutcome outcome = new StoredOutcome(Outcome.RAN, HTTP_OK, "text/plain", new byte[0]);
        call(host, new ClientCall.Settle(workspace(0), name, outcome), ignored -> {});
    }

    private void handleEditState(String id, long order, ClientReply reply, EditListener listener) {
        if (!(reply instanceof ClientReply.EditState state)) {
            return;
        }
        unacknowledgedHosts = state.waitingFor();
        if (state.accepted()) {
            world.counts().add(FuzzCounts.Kind.EDITS_ACCEPTED);
            listener.onAccepted(order);
            return;
        }
        world.network().schedule(POLL_MS, () -> pollEdit(id, order, listener));
    }

    private void pollEdit(String id, long order, EditListener listener) {
        boolean[] answered = {false};
        call(world.anyHost(), new ClientCall.QueryEdit(id), reply -> {
            answered[0] = true;
            if (reply instanceof ClientReply.EditState) {
                handleEditState(id, order, reply, listener);
            } else {
                world.network().schedule(POLL_MS, () -> pollEdit(id, order, listener));
            }
        });
        world.network().schedule(10 * POLL_MS, () -> {
            if (!answered[0]) {
                pollEdit(id, order, listener);
            }
        });
    }

    private void recordPhase(JobId job, ClientReply reply) {
        if (!(reply instanceof ClientReply.JobFound found)) {
            return;
        }
        switch (found.status().phase()) {
            case SUCCEEDED, FAILED, CANCELLED -> recordEnd(job, found.status().phase());
            case WAITING, RUNNING -> world.recordStatus(job, found.status());
            default -> throw new IllegalStateException("unknown phase");
        }
    }

    private void recordEnd(JobId job, JobPhase phase) {
        if (endedJobs.put(job, phase) == null) {
            world.counts()
                    .add(
                            switch (phase) {
                                case SUCCEEDED -> FuzzCounts.Kind.JOBS_SUCCEEDED;
                                case CANCELLED -> FuzzCounts.Kind.JOBS_CANCELLED;
                                default -> FuzzCounts.Kind.JOBS_FAILED;
                            });
        }
    }

    private static JobRequest request(Action.Submit submission) {
        int tasks = submission.tasks();
        JobKind kind =
                switch (submission.shape()) {
                    case SERVICE -> new JobKind.Service(tasks);
                    case GANG -> new JobKind.Gang(tasks);
                    case BATCH, EXCLUSIVE, TOO_LARGE -> new JobKind.Batch(tasks, OptionalLong.empty());
                };
        long cores = submission.shape() == Action.Shape.TOO_LARGE ? 1_000 : 1;
        Resources demand = Resources.of(cores * 1_000, MEMORY_MIB_PER_CORE, 0);
        boolean exclusive = submission.shape() == Action.Shape.EXCLUSIVE;
        long runMs = 1_000L * submission.seconds();
        String name = submission.shape().name().toLowerCase(java.util.Locale.ROOT) + submission.tasks();
        return new JobRequest(name, kind, demand, Priority.NORMAL, exclusive, runMs, "run=" + runMs);
    }

    record AcceptedJob(WorkspaceId workspace, Action.Shape shape, int tasks) {}

    private interface EditListener {
        void onSent(long order);

        void onAccepted(long order);
    }
}
