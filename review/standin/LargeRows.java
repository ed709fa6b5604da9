package review;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Small jobs come all the time; jobs come among them whose records outgrow a row of the store. */
final class LargeRows {
    private static final String PREFIX = "/jobs/";
    private static final long PERIOD_MS = 500;
    private static final long DISRUPTION_MS = 6_000;
    /** The users' bound finish_s: so long after the end of the traffic all jobs are asked for. */
    private static final long FINISH_MS = 14_000;
    /** For so long a job may have nothing running though there is room for it. */
    private static final long IDLE_MS = 3_000;

    private static final int WORKERS = 4;
    private static final int LARGE_JOB_TASKS = 1_400;
    private static final int STEPS = 5;
    private static final int MANY_TIMES = 400;
    private static final int FEW_TIMES = 100;
    private static final long INTERVAL_MS = 150;

    private LargeRows() {}

    /** A job for each worker, each of many small tasks, comes at once; without the disruption none of them. */
    static int largeJobs(Record record, Path directory, boolean trouble) throws Exception {
        Map<String, String> jobs = new LinkedHashMap<>();
        for (int i = 0; trouble && i < WORKERS; i++) {
            jobs.put("fffffffffffffff" + i, job("long", LARGE_JOB_TASKS, 45, 3_000, ""));
        }
        return run(record, directory, jobs, 24_000);
    }

    /** A job of five steps comes that runs many times; without the disruption it runs fewer times. */
    static int recurringJob(Record record, Path directory, boolean trouble) throws Exception {
        StringBuilder steps = new StringBuilder(step(1, 500, 50, ""));
        for (int i = 1; i < STEPS; i++) {
            steps.append(',').append(step(1, 500, 50, ",\"after\":[" + (i - 1) + "]"));
        }
        long startMs = System.currentTimeMillis() + 12_000;
        String job = "{\"spec\":\"tick\",\"repeat_count\":%d,\"start_at_ms\":%d,\"interval_ms\":%d,\"steps\":[%s]}"
                .formatted(trouble ? MANY_TIMES : FEW_TIMES, startMs, INTERVAL_MS, steps);
        return run(record, directory, Map.of("eeeeeeeeeeeeeeee", job), 70_000);
    }

    private static int run(Record record, Path directory, Map<String, String> jobs, long trafficMs) throws Exception {
        Worker.Work work = (spec, task, run) -> switch (spec) {
            case "long" -> 3_000;
            case "tick" -> 50;
            default -> 400;
        };
        try (Cluster cluster = new Cluster(record, directory, work)) {
            cluster.configure(3, List.of(new Cluster.Queue("jobs", PREFIX, 1, 3)), 0);
            for (int i = 1; i <= WORKERS; i++) {
                cluster.addWorker("worker-" + i, 64_000, 262_144, "a", "r1-" + i);
            }
            cluster.startHosts(3);
            if (!Cluster.await(30_000, () -> cluster.hosts.stream().allMatch(Cluster.Host::ready))) {
                throw new Main.NotRunException("the hosts did not become ready");
            }
            Map<String, Long> acceptedMs = new HashMap<>();
            long beganMs = record.nowMs();
            boolean sent = false;
            for (int i = 1; record.nowMs() - beganMs < trafficMs; i++) {
                submit(cluster, acceptedMs, "%016x".formatted(i), job("short", 4, 500, 400, ""));
                if (!sent && record.nowMs() - beganMs > DISRUPTION_MS) {
                    sent = true;
                    for (Map.Entry<String, String> job : jobs.entrySet()) {
                        submit(cluster, acceptedMs, job.getKey(), job.getValue());
                    }
                }
                Thread.sleep(PERIOD_MS);
            }
            record.line("traffic ends: %d jobs accepted, %d transactions refused for their size", acceptedMs.size(), cluster.store.oversized);
            Thread.sleep(FINISH_MS + IDLE_MS + 500);
            return breaches(cluster, record, acceptedMs);
        }
    }

    private static void submit(Cluster cluster, Map<String, Long> acceptedMs, String id, String job) throws InterruptedException {
        if (cluster.submit(PREFIX + id, job, 3)) {
            acceptedMs.put(id, cluster.record.nowMs());
        }
    }

    private static String job(String spec, int count, int cpu, int estimateMs, String more) {
        return "{\"spec\":\"%s\",\"steps\":[%s]}".formatted(spec, step(count, cpu, estimateMs, more));
    }

    private static String step(int count, int cpu, int estimateMs, String more) {
        return "{\"count\":%d,\"cpu\":%d,\"mem_mb\":64,\"estimate_ms\":%d%s}".formatted(count, cpu, estimateMs, more);
    }

    /**
     * Counts accepted jobs that have had nothing running for 3 s though their turn has come and most of the capacity is
     * free (LOST).
     */
    private static int breaches(Cluster cluster, Record record, Map<String, Long> acceptedMs) {
        int breaches = 0;
        long nowMs = record.nowMs();
        int running = cluster.workers.stream().mapToInt(worker -> worker.running().size()).sum();
        record.line("%d runs are at work on %d workers; leader: %s", running, cluster.workers.size(),
                cluster.leader().map(host -> host.name).orElse("none"));
        for (Map.Entry<String, Long> job : acceptedMs.entrySet()) {
            String id = job.getKey();
            boolean completed = cluster.ended(id + ".", "done") > 0 && cluster.state(PREFIX + id).equals("completed");
            Optional<Long> lastMs = lastActiveMs(cluster, id, nowMs);
            long idleMs = nowMs - Math.max(lastMs.orElse(0L), job.getValue());
            if (!completed && idleMs > IDLE_MS) {
                breaches++;
                record.line("LOST %s: accepted at %d, nothing running for %d ms, state '%s'", id, job.getValue(), idleMs,
                        cluster.state(PREFIX + id));
            }
        }
        return breaches;
    }

    /** Returns when a run of a job last was at work. */
    private static Optional<Long> lastActiveMs(Cluster cluster, String id, long nowMs) {
        synchronized (cluster.seen) {
            return cluster.seen.entrySet().stream()
                    .filter(entry -> entry.getKey().startsWith(id + "."))
                    .flatMap(entry -> entry.getValue().stream())
                    .map(run -> run.endedMs < 0 ? nowMs : run.endedMs)
                    .max(Long::compare);
        }
    }
}
