package review;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Small jobs that come all the time, and the check that no accepted job is lost (LOST). */
final class Traffic {
    private static final String PREFIX = "/jobs/";
    private static final long PERIOD_MS = 500;
    /** The users' bound finish_s: so long after the end of the traffic all jobs are asked for. */
    private static final long FINISH_MS = 14_000;
    /** For so long a job may have nothing running though there is room for it. */
    private static final long IDLE_MS = 3_000;

    private final Cluster cluster;
    private final Map<String, Long> acceptedMs = new HashMap<>();
    private int sent;

    private Traffic(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Starts the entry hosts with a configuration of one queue. */
    static Traffic start(Cluster cluster) throws IOException, InterruptedException, Main.NotRunException {
        cluster.configure(3, List.of(new Cluster.Queue("jobs", PREFIX, 1, 3)), 0);
        cluster.startHosts(3);
        if (!Cluster.await(30_000, () -> cluster.hosts.stream().allMatch(Cluster.Host::ready))) {
            throw new Main.NotRunException("the hosts did not become ready");
        }
        return new Traffic(cluster);
    }

    /** Sends small jobs for a time. */
    void run(long forMs) throws InterruptedException {
        long endMs = cluster.record.nowMs() + forMs;
        while (cluster.record.nowMs() < endMs) {
            submit("%016x".formatted(++sent), job("short", 4, 500, 400, ""));
            Thread.sleep(Math.clamp(endMs - cluster.record.nowMs(), 0, PERIOD_MS));
        }
    }

    void submit(String id, String job) throws InterruptedException {
        if (cluster.submit(PREFIX + id, job, 3)) {
            acceptedMs.put(id, cluster.record.nowMs());
        }
    }

    static String job(String spec, int count, int cpu, int estimateMs, String more) {
        return "{\"spec\":\"%s\",\"steps\":[%s]}".formatted(spec, step(count, cpu, estimateMs, more));
    }

    static String step(int count, int cpu, int estimateMs, String more) {
        return "{\"count\":%d,\"cpu\":%d,\"mem_mb\":64,\"estimate_ms\":%d%s}".formatted(count, cpu, estimateMs, more);
    }

    /**
     * Ends the traffic, waits until all jobs are asked for, and counts accepted jobs that have had nothing running for 3 s
     * though their turn has come and most of the capacity is free.
     */
    int finish() throws InterruptedException {
        Record record = cluster.record;
        record.line("traffic ends: %d jobs accepted, %d transactions refused for their size, longest value %d bytes",
                acceptedMs.size(), cluster.store.oversized, cluster.store.longestValue);
        Thread.sleep(FINISH_MS + IDLE_MS + 500);
        long nowMs = record.nowMs();
        int running = cluster.workers.stream().mapToInt(worker -> worker.running().size()).sum();
        record.line("%d runs are at work on %d workers; leader: %s", running, cluster.workers.size(),
                cluster.leader().map(host -> host.name).orElse("none"));
        int breaches = 0;
        for (Map.Entry<String, Long> job : acceptedMs.entrySet()) {
            String id = job.getKey();
            String state = cluster.state(PREFIX + id);
            long idleMs = nowMs - Math.max(lastActiveMs(id, nowMs).orElse(0L), job.getValue());
            if (!state.equals("completed") && idleMs > IDLE_MS) {
                breaches++;
                record.line("LOST %s: accepted at %d, nothing running for %d ms, state '%s'", id, job.getValue(), idleMs, state);
            }
        }
        return breaches;
    }

    /** Returns when a run of a job last was at work. */
    private Optional<Long> lastActiveMs(String id, long nowMs) {
        synchronized (cluster.seen) {
            return cluster.seen.entrySet().stream()
                    .filter(entry -> entry.getKey().startsWith(id + "."))
                    .flatMap(entry -> entry.getValue().stream())
                    .map(run -> run.endedMs < 0 ? nowMs : run.endedMs)
                    .max(Long::compare);
        }
    }
}
