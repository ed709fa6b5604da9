package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobKind;
import org.acaciafold.core.model.ManualClock;
import org.acaciafold.core.model.Priority;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.HostList;
import org.acaciafold.core.port.HostRole;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.standin.JournalEntry;
import org.acaciafold.standin.TableStore;
import org.acaciafold.standin.WorkerAgent;

/**
 * Simulates entry hosts, workers and a table on one clock. A message, call or reply arrives before the next tick of its
 * receiver unless it is dropped.
 */
final class Cell {
    static final WorkspaceId WORKSPACE = WorkspaceId.of("north");
    static final long TICK_MS = 20;
    private static final Resources CAPACITY = Resources.of(8_000, 16_384, 0);

    private final ManualClock clock = ManualClock.of(1_000);
    private final TableStore table = TableStore.empty();
    private final Map<HostId, CellHost> hosts = new TreeMap<>();
    private final Map<WorkerId, WorkerAgent> workers = new TreeMap<>();
    private final Map<WorkerId, DomainId> workerDomains = new TreeMap<>();
    private final Set<WorkerId> dead = new HashSet<>();
    private final Set<HostId> withoutTable = new HashSet<>();
    private final Set<HostId> withoutPeers = new HashSet<>();
    private final Set<String> cutLinks = new HashSet<>();
    private Predicate<TableRequest> dropTableReply = request -> false;
    private Predicate<WorkerCommand> dropWorkerReply = command -> false;
    private boolean tableUp = true;
    private long lastCall;

    /** Creates a cell with the given hosts and workers per domain, and a workspace without tight limits. */
    static Cell of(int hostsPerDomain, int workersPerDomain, String... domains) {
        Cell cell = new Cell();
        for (String domain : domains) {
            for (int i = 0; i < hostsPerDomain; i++) {
                cell.addHost(domain + "-h" + i, domain);
            }
            for (int i = 0; i < workersPerDomain; i++) {
                WorkerId worker = WorkerId.of(domain + "-w" + i);
                cell.workers.put(worker, WorkerAgent.of(worker, CAPACITY, "r" + i, 8, 64, 1));
                cell.workerDomains.put(worker, DomainId.of(domain));
            }
        }
        cell.edit("workspace/" + WORKSPACE, """
                [workspace]
                weight = 1.0
                limit-cpu = 1000cores
                limit-memory = 1000GiB
                limit-accelerators = 0
                rehome-after = 60s
                queue-limit = 100
                """);
        cell.await(
                60_000,
                () -> cell.hosts.values().stream()
                        .allMatch(host ->
                                host.core().settings().workspace(WORKSPACE).isPresent()));
        return cell;
    }

    CellHost addHost(String id, String domain) {
        CellHost host = CellHost.of(HostId.of(id), DomainId.of(domain), hosts.size() + 1L, clock);
        hosts.put(host.id(), host);
        return host;
    }

    /** Advances the clock until a condition holds; fails after a timeout. */
    void await(long timeoutMs, BooleanSupplier condition) {
        long deadlineMs = clock.nowMs() + timeoutMs;
        while (!condition.getAsBoolean()) {
            if (clock.nowMs() >= deadlineMs) {
                throw new AssertionError("condition not met within " + timeoutMs + " ms");
            }
            advance(TICK_MS);
        }
    }

    /** Calls a host and waits for its reply. */
    ClientReply call(CellHost host, ClientCall body) {
        long call = send(host, body);
        await(60_000, () -> host.reply(call).isPresent());
        return host.reply(call).get();
    }

    /** Calls a host and returns the number of the call without waiting for the reply. */
    long send(CellHost host, ClientCall body) {
        long call = ++lastCall;
        host.receive(new Event.ClientCalled(call, body));
        return call;
    }

    /** Replaces a subtree of the settings through the first host and waits for the reply. */
    void edit(String subtree, String text) {
        CellHost host = hosts.values().iterator().next();
        advance(3_000);
        call(host, new ClientCall.EditSettings("edit-" + subtree + clock.nowMs(), subtree, 0, Optional.of(text)));
    }

    JobId submit(CellHost host, JobRequest request) {
        return ((ClientReply.Submitted) call(host, new ClientCall.Submit(WORKSPACE, "", request))).job();
    }

    static JobRequest batch(int tasks, boolean exclusive, String payload) {
        return request("batch", new JobKind.Batch(tasks, java.util.OptionalLong.empty()), exclusive, payload);
    }

    static JobRequest service(int tasks) {
        return request("shop", new JobKind.Service(tasks), false, "");
    }

    private static JobRequest request(String name, JobKind kind, boolean exclusive, String payload) {
        return new JobRequest(name, kind, Resources.of(1_000, 256, 0), Priority.NORMAL, exclusive, 1_000, payload);
    }

    JobStatus status(CellHost host, JobId job) {
        return ((ClientReply.JobFound) call(host, new ClientCall.QueryJob(WORKSPACE, job))).status();
    }

    /** Waits until a running host owns a slice of the domain, and returns that host. */
    CellHost owner(String domain) {
        await(60_000, () -> ownerNow(domain).isPresent());
        return ownerNow(domain).get();
    }

    Optional<CellHost> ownerNow(String domain) {
        return hosts.values().stream()
                .filter(host -> host.domain().value().equals(domain)
                        && host.running()
                        && host.core().ownedSlices() > 0)
                .findFirst();
    }

    CellHost other(CellHost host) {
        return hosts.values().stream()
                .filter(candidate -> candidate != host && candidate.domain().equals(host.domain()))
                .findFirst()
                .orElseThrow();
    }

    SliceRow row(String domain) {
        return stored(SliceRow.key(Slices.of(DomainId.of(domain), 0)))
                .flatMap(row -> RowCodec.decode(row, SliceRow.class))
                .orElseThrow();
    }

    Optional<Row> stored(String key) {
        TableReply.Rows rows = (TableReply.Rows) table.call(new TableRequest.Read(List.of(key)));
        return rows.rows().stream().findFirst();
    }

    SliceId slice(String domain) {
        return Slices.of(DomainId.of(domain), 0);
    }

    void tableUp(boolean up) {
        tableUp = up;
    }

    void cutFromTable(CellHost host, boolean cut) {
        if (cut) {
            withoutTable.add(host.id());
        } else {
            withoutTable.remove(host.id());
        }
    }

    void cutFromPeers(CellHost host) {
        withoutPeers.add(host.id());
    }

    void cutFromWorker(CellHost host, String worker) {
        cutLinks.add(host.id() + " " + worker);
    }

    void cutDomainFromTable(String domain, boolean cut) {
        hosts.values().stream()
                .filter(host -> host.domain().value().equals(domain))
                .forEach(host -> cutFromTable(host, cut));
    }

    void dropTableReplies(Predicate<TableRequest> which) {
        dropTableReply = which;
    }

    void dropWorkerReplies(Predicate<WorkerCommand> which) {
        dropWorkerReply = which;
    }

    /** Restarts the agent of a worker under a new incarnation, without its previous state. */
    void restart(String worker) {
        WorkerId id = WorkerId.of(worker);
        workers.put(id, WorkerAgent.of(id, CAPACITY, "r", 8, 64, ++lastCall));
    }

    void kill(String worker) {
        dead.add(WorkerId.of(worker));
    }

    long nowMs() {
        return clock.nowMs();
    }

    /** Returns the number of task starts of a job on all workers. */
    long starts(JobId job) {
        return workers.values().stream()
                .flatMap(worker -> worker.journal().stream())
                .filter(entry -> entry.kind() == JournalEntry.Kind.TASK_STARTED
                        && entry.subject().startsWith(job + "#"))
                .count();
    }

    /** Returns the number of running tasks of a job in a domain. */
    long running(JobId job, String domain) {
        return workerDomains.entrySet().stream()
                .filter(workerDomain -> workerDomain.getValue().value().equals(domain))
                .flatMap(workerDomain -> workers.get(workerDomain.getKey()).view(nowMs()).tasks().stream())
                .filter(task -> task.task().job().equals(job))
                .count();
    }

    /** Returns a live worker that runs a task of a job. */
    String workerOf(JobId job) {
        return workers.entrySet().stream()
                .filter(worker -> !dead.contains(worker.getKey()))
                .filter(worker -> worker.getValue().view(nowMs()).tasks().stream()
                        .anyMatch(task -> task.task().job().equals(job)))
                .map(worker -> worker.getKey().value())
                .findFirst()
                .orElseThrow();
    }

    void advance(long ms) {
        long deadlineMs = clock.nowMs() + ms;
        while (clock.nowMs() < deadlineMs) {
            clock.advance(TICK_MS);
            workers.values().forEach(worker -> worker.advance(clock.nowMs()));
            HostList list = hostList();
            for (CellHost host : List.copyOf(hosts.values())) {
                host.receive(new Event.HostsListed(list));
                host.tick().forEach(effect -> execute(host, effect));
            }
        }
    }

    private HostList hostList() {
        List<HostEntry> entries = new ArrayList<>();
        hosts.values().stream()
                .filter(CellHost::alive)
                .forEach(host -> entries.add(entry(host.id().value(), HostRole.ENTRY, host.domain())));
        workerDomains.forEach((worker, domain) -> {
            if (!dead.contains(worker)) {
                entries.add(entry(worker.value(), HostRole.WORKER, domain));
            }
        });
        return new HostList(entries);
    }

    private static HostEntry entry(String id, HostRole role, DomainId domain) {
        return new HostEntry(id, role, domain, "r", id, id, false);
    }

    private void execute(CellHost host, Effect effect) {
        switch (effect) {
            case Effect.CallTable call -> callTable(host, call);
            case Effect.CallWorker call -> callWorker(host, call);
            case Effect.SendPeer send -> {
                CellHost to = hosts.get(send.to());
                if (to != null && !withoutPeers.contains(host.id()) && !withoutPeers.contains(to.id())) {
                    to.receive(new Event.PeerReceived(host.id(), send.message()));
                }
            }
            case Effect.AnswerClient answer -> host.recordReply(answer);
            case Effect.Stopped ignored -> host.kill();
        }
    }

    private void callTable(CellHost host, Effect.CallTable call) {
        if (!tableUp || withoutTable.contains(host.id())) {
            return;
        }
        TableReply reply = table.call(call.request());
        if (!dropTableReply.test(call.request())) {
            host.receive(new Event.TableAnswered(call.call(), reply));
        }
    }

    private void callWorker(CellHost host, Effect.CallWorker call) {
        if (dead.contains(call.worker()) || cutLinks.contains(host.id() + " " + call.worker())) {
            return;
        }
        var reply = workers.get(call.worker()).command(call.command(), clock.nowMs());
        if (!dropWorkerReply.test(call.command())) {
            host.receive(new Event.WorkerAnswered(call.call(), reply));
        }
    }
}
