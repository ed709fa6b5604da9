package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** A host is cut off from the leader but reaches the store; consumers hand jobs in there and cancel them at once. */
final class LostCancel {
    /** The users' jobs have up to 2,000 bytes. */
    private static final String SPEC = " ".repeat(2_000);

    private static final int HOSTS = 6;
    private static final int CUTS = 5;
    private static final long CUT_MS = 5_500;
    private static final long PAUSE_MS = 3_000;
    /** Between two jobs, at about the rate of a deployment of today with a burst. */
    private static final long PERIOD_MS = 20;
    private static final long CALM_MS = 3_000;
    private static final long CANCEL_MS = 3_000;
    private static final long STOP_MS = 200;

    private LostCancel() {}

    static int run(Record record, Path directory, boolean trouble) throws Exception {
        Worker.Work work = (spec, task, run) -> spec.startsWith("long") ? 100_000 : 400;
        Map<String, Long> cancelledMs = new ConcurrentHashMap<>();
        try (Cluster cluster = new Cluster(record, directory, work); ExecutorService senders = Executors.newVirtualThreadPerTaskExecutor()) {
            cluster.peerProxies = true;
            for (int i = 1; i <= 33; i++) {
                cluster.addWorker("worker-%02d".formatted(i), 64_000, 262_144, "a", "r-" + i / 8);
            }
            cluster.configure(3, List.of(new Cluster.Queue("jobs", "/jobs/", 1, 3)), 0);
            cluster.startHosts(HOSTS);
            if (!Cluster.await(30_000, () -> cluster.hosts.stream().allMatch(Cluster.Host::ready) && cluster.leader().isPresent())) {
                throw new Main.NotRunException("the hosts did not become ready");
            }
            Cluster.Host leader = cluster.leader().orElseThrow();
            Cluster.Host other = cluster.hosts.stream().filter(host -> host != leader).findFirst().orElseThrow();
            Thread.sleep(2_000);
            for (int i = 0; i < CUTS; i++) {
                if (trouble) {
                    record.line("%s is cut off from all other hosts; %s leads", other.name, leader.name);
                    for (Proxy proxy : cluster.proxies.values()) {
                        proxy.isolate(other.name);
                    }
                }
                send(cluster, senders, leader, other, i * 10_000, cancelledMs);
                for (Proxy proxy : cluster.proxies.values()) {
                    proxy.isolate("");
                }
                record.line("no cut; %d jobs cancelled so far", cancelledMs.size());
                Thread.sleep(PAUSE_MS);
            }
            senders.shutdown();
            senders.awaitTermination(6, TimeUnit.SECONDS);
            Thread.sleep(CALM_MS + CANCEL_MS + STOP_MS + 2_000);
            int breaches = 0;
            for (Worker worker : cluster.workers) {
                for (String task : worker.running()) {
                    String id = task.substring(0, 16);
                    if (cancelledMs.containsKey(id)) {
                        breaches++;
                        record.line("UNASKED %s runs on %s, cancelled at %d; %s says %s, %s says %s", task, worker.id, cancelledMs.get(id),
                                leader.name, cluster.call(leader, "GET", "/jobs/" + id, "").body(), other.name,
                                cluster.call(other, "GET", "/jobs/" + id, "").body());
                    }
                }
            }
            record.line("%d jobs cancelled, %d of them run on", cancelledMs.size(), breaches);
            return breaches;
        }
    }

    /** Hands jobs in for a time; consumers cancel four tenths of them, at the host that may be cut off, as soon as they are accepted. */
    private static void send(
            Cluster cluster, ExecutorService senders, Cluster.Host leader, Cluster.Host other, int first, Map<String, Long> cancelledMs)
            throws InterruptedException {
        long endMs = cluster.record.nowMs() + CUT_MS;
        for (int sent = first; cluster.record.nowMs() < endMs; sent++) {
            String id = "%016x".formatted(sent);
            int turn = sent % 10;
            if (turn < 4) {
                senders.submit(() -> submitAndCancel(cluster, other, "c" + id.substring(1), cancelledMs));
            } else {
                senders.submit(() -> cluster.call(turn < 7 ? leader : other, "POST", "/jobs/a" + id.substring(1), Traffic.job("short" + SPEC, 8, 500, 400, "")));
            }
            Thread.sleep(PERIOD_MS);
        }
    }

    private static void submitAndCancel(Cluster cluster, Cluster.Host host, String id, Map<String, Long> cancelledMs) {
        Cluster.Answer accepted = cluster.call(host, "POST", "/jobs/" + id, Traffic.job("long" + SPEC, 1, 200, 60_000, ""));
        cluster.record.line("POST %s at %s -> %d", id, host.name, accepted.status());
        if (accepted.status() == 200) {
            Cluster.Answer cancelled = cluster.call(host, "DELETE", "/jobs/" + id, "");
            cluster.record.line("DELETE %s at %s -> %d", id, host.name, cancelled.status());
            if (cancelled.status() == 200) {
                cancelledMs.put(id, cluster.record.nowMs());
            }
        }
    }
}
