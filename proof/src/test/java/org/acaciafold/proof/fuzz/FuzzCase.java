package org.acaciafold.proof.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/** Runs one case: it sets up the cluster, applies the steps, ends all faults and waits until all jobs have ended. */
final class FuzzCase {
    private static final long STEP_MS = 100;
    private static final long POLL_MS = 2_000;
    private static final long EDIT_RETRY_MS = 20_000;
    private static final long MAX_FINISH_MS = 600_000;
    private static final int FINAL_LIMIT_CORES = 60;

    private final World world;
    private final List<Action> steps;

    private FuzzCase(World world, List<Action> steps) {
        this.world = world;
        this.steps = steps;
    }

    static FuzzCase of(long seed, int domains, List<Action> steps) {
        return new FuzzCase(new World(seed, domains), steps);
    }

    /** Runs the case and returns the first violation with the trace, or empty if no check failed. */
    Optional<Finding> run() {
        Bootstrap.of(world).run();
        for (Action step : steps) {
            if (!world.oracle().violations().isEmpty()) {
                break;
            }
            world.addTrace("step " + step);
            apply(step);
            world.advance(STEP_MS);
        }
        if (world.oracle().violations().isEmpty()) {
            finish();
        }
        List<String> violations = world.oracle().violations();
        return violations.isEmpty() ? Optional.empty() : Optional.of(new Finding(violations.get(0), world.trace()));
    }

    World world() {
        return world;
    }

    private void apply(Action step) {
        long nowMs = world.nowMs();
        switch (step) {
            case Action.Submit submit -> world.clients().submit(submit, world.host(submit.host()));
            case Action.CancelWave wave -> world.clients().cancelWave(wave.every());
            case Action.Hold hold -> world.clients().sendKeyedRequest(hold.key(), world.host(hold.host()));
            case Action.SetLimit limit ->
                world.clients().setLimit(limit.workspace(), limit.cores(), world.host(limit.host()));
            case Action.SetDomain set ->
                world.clients().setDomain(domain(set.domain()), set.out(), world.host(set.host()));
            case Action.KillHost kill -> {
                world.host(kill.host()).kill();
                world.replaceLater(world.host(kill.host()), kill.replacedAfterMs());
            }
            case Action.StopHost stop -> {
                world.host(stop.host()).stop();
                world.replaceLater(world.host(stop.host()), stop.replacedAfterMs());
            }
            case Action.PauseHost pause -> world.host(pause.host()).pause(nowMs, nowMs + pause.ms());
            case Action.PauseAtStart pause -> world.host(pause.host()).pauseAtStart(pause.ms());
            case Action.SplitDomain split -> splitDomain(split, nowMs + split.ms());
            case Action.KillWorker kill -> killWorker(world.worker(kill.worker()), kill.replacedAfterMs());
            case Action.FailWorker fail -> failWorker(world.worker(fail.worker()), fail.ms());
            case Action.LeaveWorker leave -> world.worker(leave.worker()).setLeaving(true);
            case Action.CutDomains cut ->
                world.network().cut(domain(cut.first()), domain(cut.second()), nowMs + cut.ms());
            case Action.CutHost cut -> cutHost(world.host(cut.host()), cut.other(), nowMs + cut.ms());
            case Action.CutPlatform cut ->
                world.network().cut(domain(cut.domain()), Network.PLATFORM, nowMs + cut.ms());
            case Action.BreakTable broken -> world.breakTable(broken.fault(), broken.ms());
            case Action.Disturb disturb -> world.network().disturb(disturb, nowMs + disturb.ms());
            case Action.Pass pass -> world.advance(pass.ms());
        }
    }

    private String domain(int index) {
        return world.domains().get(index % world.domains().size());
    }

    private void cutHost(SimHost host, int other, long untilMs) {
        List<String> nodes = new ArrayList<>();
        nodes.add(Network.PLATFORM);
        world.workers().stream()
                .filter(worker -> worker.domain().equals(host.domain()))
                .forEach(worker -> nodes.add(worker.id().value()));
        world.network().cut(host.id().value(), nodes.get(other % nodes.size()), untilMs);
    }

    /**
     * Isolates one host together with one worker of its domain.
     *
     * <p>The host reaches neither the platform, the other hosts nor the other workers of its domain. The other hosts of
     * the domain do not reach the worker.
     */
    private void splitDomain(Action.SplitDomain split, long untilMs) {
        String domain = domain(split.domain());
        List<SimHost> hosts = world.hosts().stream()
                .filter(host -> host.domain().equals(domain))
                .toList();
        List<SimWorker> workers = world.workers().stream()
                .filter(worker -> worker.domain().equals(domain))
                .toList();
        SimHost isolatedHost = hosts.get(split.host() % hosts.size());
        SimWorker reachableWorker = workers.get(split.worker() % workers.size());
        world.network().cut(isolatedHost.id().value(), Network.PLATFORM, untilMs);
        world.hosts()
                .forEach(host ->
                        world.network().cut(isolatedHost.id().value(), host.id().value(), untilMs));
        workers.stream()
                .filter(worker -> worker != reachableWorker)
                .forEach(worker -> world.network()
                        .cut(isolatedHost.id().value(), worker.id().value(), untilMs));
        hosts.stream()
                .filter(host -> host != isolatedHost)
                .forEach(host -> world.network()
                        .cut(host.id().value(), reachableWorker.id().value(), untilMs));
    }

    private void failWorker(SimWorker worker, long ms) {
        worker.setFailsEverything(true);
        world.network().schedule(ms, () -> worker.setFailsEverything(false));
    }

    private void finish() {
        world.heal();
        world.advance(MAX_FINISH_MS / 10);
        world.domains().forEach(domain -> world.clients().setDomain(domain, false, world.anyHost()));
        for (long waitedMs = 0; waitedMs < MAX_FINISH_MS && !done(); waitedMs += POLL_MS) {
            if (waitedMs % EDIT_RETRY_MS == 0) {
                resendUnacceptedLimits();
            }
            world.clients().submitProbes();
            world.clients().cancelServices();
            world.clients().pollJobs();
            world.clients().repeatKeyedRequests();
            world.advance(POLL_MS);
        }
        if (world.oracle().violations().isEmpty() && !done()) {
            world.oracle().reportViolation(world.nowMs(), "not all work ended: " + describeUnfinished());
        }
    }

    private void resendUnacceptedLimits() {
        for (int workspace = 0; workspace < Clients.WORKSPACES; workspace++) {
            if (!world.oracle().isLastAcceptedLimit(Clients.workspace(workspace), Clients.limit(FINAL_LIMIT_CORES))) {
                world.clients().setLimit(workspace, FINAL_LIMIT_CORES, world.anyHost());
            }
        }
    }

    private boolean limitsAccepted() {
        return IntStream.range(0, Clients.WORKSPACES)
                .allMatch(workspace -> world.oracle()
                        .isLastAcceptedLimit(Clients.workspace(workspace), Clients.limit(FINAL_LIMIT_CORES)));
    }

    private boolean done() {
        Clients clients = world.clients();
        boolean broken = !world.oracle().violations().isEmpty();
        boolean ended = limitsAccepted()
                && clients.probesAccepted()
                && clients.unfinishedJobs().isEmpty();
        return broken || ended && clients.keyedRequestsAnswered();
    }

    private String describeUnfinished() {
        List<String> lines = new ArrayList<>();
        world.clients().unfinishedJobs().forEach((job, details) -> lines.add(details + " " + world.lastStatus(job)));
        if (!limitsAccepted()) {
            lines.add("limit edits sent after the faults are not acknowledged by "
                    + world.clients().unacknowledgedHosts());
        }
        if (!world.clients().probesAccepted()) {
            lines.add("jobs submitted after the faults are not accepted");
        }
        if (!world.clients().keyedRequestsAnswered()) {
            lines.add("a request with an idempotency key has no final reply");
        }
        return String.join("; ", lines);
    }

    private void killWorker(SimWorker worker, long replacedAfterMs) {
        worker.kill();
        world.network().schedule(replacedAfterMs, () -> {
            if (!worker.alive()) {
                worker.restart();
            }
        });
    }

    record Finding(String violation, List<String> trace) {}
}
