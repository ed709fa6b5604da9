package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.ManualClock;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.HostList;
import org.acaciafold.core.port.HostRole;
import org.acaciafold.core.port.TableReply;

/** Runs entry hosts in one thread on a shared table; a host can be cut off from the table and its peers. */
final class TestFleet {
    static final long STEP_MS = 10;

    private final ManualClock clock = ManualClock.of(1_000);
    private final TestTable table = new TestTable();
    private final Map<String, TestHost> hosts = new TreeMap<>();
    private final Map<String, HostEntry> hostList = new TreeMap<>();
    private final TreeSet<String> cut = new TreeSet<>();
    private final TreeSet<String> paused = new TreeSet<>();
    private final Map<Long, ClientReply> replies = new HashMap<>();
    private long lastCall;
    private long lastIncarnation;

    TestTable table() {
        return table;
    }

    TestHost host(String id) {
        return hosts.get(id);
    }

    Map<String, TestHost> hosts() {
        return hosts;
    }

    boolean isCut(String id) {
        return cut.contains(id);
    }

    /** Starts a host, or a new process of a running host; returns the previous process, or null. */
    TestHost start(String id, String domain) {
        hostList.put(id, entry(id, domain));
        TestHost before = hosts.put(id, TestHost.of(id, domain, ++lastIncarnation, clock));
        publishHostList();
        return before;
    }

    void stop(String id) {
        hosts.remove(id);
    }

    void removeFromHostList(String id) {
        hostList.remove(id);
        publishHostList();
    }

    void cut(String id, boolean value) {
        if (value) {
            cut.add(id);
        } else {
            cut.remove(id);
        }
    }

    void pause(String id, boolean value) {
        if (value) {
            paused.add(id);
        } else {
            paused.remove(id);
        }
    }

    /** Sends a call to a host and returns the number of the call. */
    long send(String host, ClientCall body) {
        long call = ++lastCall;
        hosts.get(host).inbox().add(new Event.ClientCalled(call, body));
        return call;
    }

    ClientReply reply(long call) {
        return replies.get(call);
    }

    /** Sends a call to a host and returns the reply, or null if none arrives within 1000 steps. */
    ClientReply call(String host, ClientCall body) {
        long call = send(host, body);
        for (int i = 0; i < 1_000 && !replies.containsKey(call); i++) {
            run(STEP_MS);
        }
        return replies.get(call);
    }

    void run(long ms) {
        for (long elapsed = 0; elapsed < ms; elapsed += STEP_MS) {
            clock.advance(STEP_MS);
            for (TestHost host : List.copyOf(hosts.values())) {
                if (!paused.contains(host.id())) {
                    run(host);
                }
            }
        }
    }

    /** Runs one tick of a process, which may have been replaced by a newer process of its host. */
    void run(TestHost host) {
        for (Effect effect : host.tick()) {
            switch (effect) {
                case Effect.CallTable call ->
                    host.inbox().add(new Event.TableAnswered(call.call(), tableReply(host, call)));
                case Effect.SendPeer message -> deliver(host, message);
                case Effect.AnswerClient answer -> replies.put(answer.call(), answer.reply());
                case Effect.CallWorker ignored -> throw new IllegalStateException("there are no workers");
                case Effect.Stopped ignored -> hosts.remove(host.id());
            }
        }
    }

    private TableReply tableReply(TestHost host, Effect.CallTable call) {
        return cut.contains(host.id()) ? new TableReply.Unavailable("cut") : table.handle(call.request());
    }

    private void deliver(TestHost from, Effect.SendPeer message) {
        TestHost to = hosts.get(message.to().value());
        if (to != null && !cut.contains(from.id()) && !cut.contains(to.id())) {
            to.inbox().add(new Event.PeerReceived(HostId.of(from.id()), message.message()));
        }
    }

    private static HostEntry entry(String id, String domain) {
        return new HostEntry(id, HostRole.ENTRY, DomainId.of(domain), "r1", "10.0.0.1:1", "10.0.0.1:2", false);
    }

    private void publishHostList() {
        HostList list = new HostList(new ArrayList<>(hostList.values()));
        hosts.values().forEach(host -> host.inbox().add(new Event.HostsListed(list)));
    }
}
