package org.acaciafold.proof.fuzz;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.acaciafold.coordination.Effect;
import org.acaciafold.coordination.Event;
import org.acaciafold.coordination.JobStatus;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.ManualClock;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.HostList;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;
import org.acaciafold.standin.TableStore;

/** Simulates a cluster of entry hosts, workers and the platform on one clock, and injects faults. */
final class World {
    private static final Network.Location PLATFORM = new Network.Location(Network.PLATFORM, Network.PLATFORM);
    private static final long TICK_MS = 20;
    private static final long HOST_LIST_INTERVAL_MS = 1_000;
    private static final long HOST_LIST_LAG_MS = 2_000;
    private static final long SLOW_TABLE_MS = 1_500;
    private static final int HOSTS_PER_DOMAIN = 2;
    private static final int WORKERS_PER_DOMAIN = 3;
    private static final int TRACE_LINES = 2_000;

    private final ManualClock clock = ManualClock.of(1_000_000);
    private final Network network;
    private final Random random;
    private final TableStore table = TableStore.empty();
    private final Oracle oracle = new Oracle();
    private final Clients clients = new Clients(this, oracle);
    private final List<String> domains = new ArrayList<>();
    private final List<SimHost> hosts = new ArrayList<>();
    private final Map<WorkerId, SimWorker> workers = new TreeMap<>();
    private final Map<JobId, JobStatus> lastStatus = new TreeMap<>();
    private final List<String> trace = new ArrayList<>();
    private final Traffic traffic = new Traffic();
    private final FuzzCounts counts = new FuzzCounts();
    private final Map<String, HostId> leaseHolders = new TreeMap<>();
    private final Map<String, Long> lastStartMs = new TreeMap<>();
    private HostList publishedHosts = new HostList(List.of());
    private Action.TableFault tableFault;
    private long tableFaultUntilMs;
    private long nextListMs;
    private long lastIncarnation;
    private int lastHost;

    World(long seed, int domainCount) {
        network = Network.of(seed);
        network.advance(clock.nowMs());
        random = new Random(seed + 1);
        for (int d = 0; d < domainCount; d++) {
            domains.add("d" + d);
            for (int h = 0; h < HOSTS_PER_DOMAIN; h++) {
                addHost("d" + d);
            }
            for (int w = 0; w < WORKERS_PER_DOMAIN; w++) {
                WorkerId id = WorkerId.of("d" + d + "w" + w);
                workers.put(id, new SimWorker(id, "d" + d, "r" + w % 2));
            }
        }
        publishHosts();
    }

    SimHost anyHost() {
        List<SimHost> live = hosts.stream()
                .filter(host -> host.alive() && !host.stopping() && !host.paused(nowMs()))
                .toList();
        return live.isEmpty() ? hosts.get(0) : live.get(random.nextInt(live.size()));
    }

    Clients clients() {
        return clients;
    }

    FuzzCounts counts() {
        return counts;
    }

    List<String> domains() {
        return domains;
    }

    SimHost host(int index) {
        return hosts.get(index % hosts.size());
    }

    Optional<SimHost> host(HostId id) {
        return hosts.stream().filter(host -> host.id().equals(id)).findFirst();
    }

    List<SimHost> hosts() {
        return hosts;
    }

    Network network() {
        return network;
    }

    void addTrace(String event) {
        trace.add("at " + nowMs() + " ms: " + event);
        if (trace.size() > TRACE_LINES) {
            trace.remove(0);
        }
    }

    private void addTraceUnless(boolean routine, String event) {
        if (!routine) {
            addTrace(event);
        }
    }

    void recordStatus(JobId job, JobStatus status) {
        lastStatus.put(job, status);
    }

    JobStatus lastStatus(JobId job) {
        return lastStatus.get(job);
    }

    long nowMs() {
        return clock.nowMs();
    }

    Oracle oracle() {
        return oracle;
    }

    /** Advances the clock by the given time, or until a violation is found. */
    void advance(long ms) {
        long endMs = nowMs() + ms;
        while (nowMs() < endMs && oracle.violations().isEmpty()) {
            step();
        }
    }

    void breakTable(Action.TableFault fault, long ms) {
        tableFault = fault;
        tableFaultUntilMs = nowMs() + ms;
    }

    void replaceLater(SimHost host, long afterMs) {
        network.schedule(afterMs, () -> {
            hosts.remove(host);
            addHost(host.domain());
        });
    }

    void heal() {
        network.heal();
        tableFaultUntilMs = 0;
        hosts.forEach(SimHost::resume);
        workers.values().forEach(worker -> {
            worker.setFailsEverything(false);
            if (!worker.alive()) {
                worker.restart();
            }
            worker.setLeaving(false);
        });
    }

    TableStore table() {
        return table;
    }

    /** Returns the time at which a task last started in a domain, or 0 if none has. */
    long lastStartMs(String domain) {
        return lastStartMs.getOrDefault(domain, 0L);
    }

    /** Returns the host that last acquired or renewed the control lease of a worker in a domain. */
    Optional<HostId> lastLeaseHolder(String domain) {
        return Optional.ofNullable(leaseHolders.get(domain));
    }

    Collection<SimWorker> workers() {
        return workers.values();
    }

    Traffic traffic() {
        return traffic;
    }

    List<String> trace() {
        return trace;
    }

    SimWorker worker(WorkerId id) {
        return workers.get(id);
    }

    SimWorker worker(int index) {
        List<SimWorker> all = List.copyOf(workers.values());
        return all.get(index % all.size());
    }

    private void addHost(String domain) {
        HostId id = HostId.of(domain + "h" + lastHost++);
        hosts.add(new SimHost(id, domain, ++lastIncarnation, clock));
    }

    private void execute(SimHost host, Effect effect) {
        traffic.count(effect);
        switch (effect) {
            case Effect.CallTable call -> callTable(host, call);
            case Effect.CallWorker call -> callWorker(host, call);
            case Effect.SendPeer send -> sendPeer(host, send);
            case Effect.AnswerClient answer ->
                network.schedule(1, () -> clients.deliverReply(answer.call(), answer.reply()));
            case Effect.Stopped ignored -> host.kill();
        }
    }

    private void callTable(SimHost host, Effect.CallTable call) {
        network.send(host.location(), PLATFORM, () -> {
            boolean broken = nowMs() < tableFaultUntilMs;
            if (broken && tableFault == Action.TableFault.DOWN) {
                return;
            }
            if (broken && tableFault == Action.TableFault.SLOW) {
                network.schedule(SLOW_TABLE_MS, () -> answerTable(host, call, false));
                return;
            }
            answerTable(host, call, broken && random.nextBoolean());
        });
    }

    private void answerTable(SimHost host, Effect.CallTable call, boolean lost) {
        TableReply reply = table.call(call.request());
        if (call.request() instanceof TableRequest.Commit commit) {
            countSliceWrite(commit, reply);
            boolean renewal = commit.writes().size() == 1
                    && commit.writes().getFirst().key().startsWith("slice/")
                    && reply instanceof TableReply.Committed;
            addTraceUnless(
                    renewal,
                    host.id() + " commits " + describe(commit) + " -> "
                            + reply.getClass().getSimpleName());
        }
        if (!lost) {
            network.send(PLATFORM, host.location(), () -> host.receive(new Event.TableAnswered(call.call(), reply)));
        }
    }

    /**
     * Returns the keys of the rows that a transaction writes.
     *
     * <p>Includes the content of the rows of allotments and hosts, which determine the limits and settings in force.
     */
    private static String describe(TableRequest.Commit commit) {
        return commit.writes().stream()
                .map(write ->
                        write.key().startsWith("allotment/") || write.key().startsWith("host/")
                                ? write.key() + write.value().map(String::new).orElse(" deleted")
                                : write.key())
                .collect(Collectors.joining(", "));
    }

    private void countSliceWrite(TableRequest.Commit commit, TableReply reply) {
        boolean slice = commit.writes().stream().anyMatch(write -> write.key().startsWith("slice/"));
        if (slice && reply instanceof TableReply.Committed) {
            counts.add(FuzzCounts.Kind.SLICE_WRITES);
        }
    }

    private void callWorker(SimHost host, Effect.CallWorker call) {
        SimWorker worker = workers.get(call.worker());
        network.send(host.location(), worker.location(), () -> {
            if (!worker.alive()) {
                return;
            }
            WorkerReply reply = worker.command(call.command(), nowMs());
            if (reply instanceof WorkerReply.Fenced) {
                counts.add(FuzzCounts.Kind.FENCED_COMMANDS);
            }
            traceCommand(host, worker, call, reply);
            recordStart(worker, call, reply);
            if (reply instanceof WorkerReply.Claimed) {
                leaseHolders.put(worker.domain(), host.id());
            }
            oracle.checkWorkerReply(nowMs(), worker, call.command(), reply);
            network.send(
                    worker.location(),
                    host.location(),
                    () -> host.receive(new Event.WorkerAnswered(call.call(), reply)));
        });
    }

    private void recordStart(SimWorker worker, Effect.CallWorker call, WorkerReply reply) {
        if (call.command() instanceof WorkerCommand.Start && reply instanceof WorkerReply.Done) {
            lastStartMs.put(worker.domain(), nowMs());
            counts.add(FuzzCounts.Kind.TASK_STARTS);
        }
    }

    private void traceCommand(SimHost host, SimWorker worker, Effect.CallWorker call, WorkerReply reply) {
        if (!(reply instanceof WorkerReply.Claimed)) {
            String command = call.command().toString();
            addTrace(host.id() + " to " + worker.id() + ": " + command.substring(0, Math.min(160, command.length()))
                    + " -> " + reply);
        }
    }

    private void sendPeer(SimHost from, Effect.SendPeer send) {
        hosts.stream()
                .filter(host -> host.id().equals(send.to()))
                .findFirst()
                .ifPresent(to -> network.send(
                        from.location(),
                        to.location(),
                        () -> to.receive(new Event.PeerReceived(from.id(), send.message()))));
    }

    private void publishHosts() {
        List<HostEntry> entries = new ArrayList<>();
        hosts.stream().filter(SimHost::alive).forEach(host -> entries.add(host.entry()));
        workers.values().stream().filter(SimWorker::alive).forEach(worker -> entries.add(worker.entry()));
        HostList next = new HostList(entries);
        if (publishedHosts.hosts().isEmpty()) {
            publishedHosts = next;
        } else {
            network.schedule(HOST_LIST_LAG_MS, () -> publishedHosts = next);
        }
    }

    private void step() {
        clock.advance(TICK_MS);
        workers.values().forEach(worker -> worker.advance(nowMs()));
        network.advance(nowMs());
        if (nowMs() >= nextListMs) {
            nextListMs = nowMs() + HOST_LIST_INTERVAL_MS;
            publishHosts();
            for (SimHost host : hosts) {
                HostList list = publishedHosts;
                network.send(PLATFORM, host.location(), () -> host.receive(new Event.HostsListed(list)));
            }
        }
        for (SimHost host : List.copyOf(hosts)) {
            host.tick(nowMs()).forEach(effect -> execute(host, effect));
        }
        oracle.checkRunningTasks(nowMs(), workers.values());
    }
}
