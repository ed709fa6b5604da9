package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

/** Jobs of many small tasks end on one worker while the leader is being replaced. */
final class ManyEnds {
    private static final int TASKS = 770;
    private static final long LONG_MS = 10_000;
    private static final long MIN_MS = 500;
    private static final String PREFIX = "/jobs/";
    private static final String WARM_UP = "00000000000000a1";
    /** How the identifiers of the jobs begin. */
    private static final String LARGE = "bbbbbbbb";

    private static final int JOBS = 7;
    private static final long PAUSE_MS = 600;

    private ManyEnds() {}

    static int run(Record record, Path directory, boolean trouble) throws Exception {
        AtomicLong endMs = new AtomicLong();
        Worker.Work work = (spec, task, run) -> {
            if (spec.equals("short")) {
                return 300;
            }
            // all tasks end within half a second, also those whose start took more than one attempt
            endMs.compareAndSet(0, record.nowMs() + LONG_MS);
            long laterMs = 10 * (Integer.parseInt(task.substring(task.lastIndexOf('.') + 1)) % 50);
            return Math.max(MIN_MS, endMs.get() + laterMs - record.nowMs());
        };
        try (Cluster cluster = new Cluster(record, directory, work)) {
            cluster.configure(3, List.of(new Cluster.Queue("jobs", PREFIX, 1, 3)), 0);
            for (int i = 1; i <= 3; i++) {
                cluster.addWorker("worker-" + i, 64_000, 262_144, i == 1 ? "a" : "b", "r1-" + i);
            }
            cluster.startHosts(3);
            boolean ready = Cluster.await(30_000, () -> cluster.hosts.stream().allMatch(Cluster.Host::ready));
            if (!ready || !cluster.submit(PREFIX + WARM_UP, job("short", 6, 500, 300), 5)
                    || !Cluster.await(10_000, () -> cluster.state(PREFIX + WARM_UP).equals("completed"))) {
                throw new Main.NotRunException("the deployment did not complete a small job");
            }
            for (int i = 0; i < JOBS; i++) {
                if (!cluster.submit(PREFIX + id(i), job("long", TASKS / JOBS, 80, 10_000), 5)) {
                    throw new Main.NotRunException("a job was not accepted");
                }
                Thread.sleep(PAUSE_MS);
            }
            Cluster.Host leader = cluster.leader().orElseThrow(() -> new Main.NotRunException("no leader"));
            if (!Cluster.await(20_000, () -> cluster.ended(LARGE, "done") > 0)) {
                throw new Main.NotRunException("the jobs did not start");
            }
            record.line("%d tasks of the jobs have started, the first has ended", cluster.startedTasks(LARGE));
            if (trouble) {
                leader.kill();
                Thread.sleep(1_000);
                leader.start();
            }
            boolean completed = Cluster.await(
                    60_000, () -> IntStream.range(0, JOBS).allMatch(i -> cluster.state(PREFIX + id(i)).equals("completed")));
            record.line("all jobs are completed: %s", completed);
            Thread.sleep(1_500);
            return breaches(cluster, record);
        }
    }

    private static String id(int number) {
        return "%s%08x".formatted(LARGE, number);
    }

    private static String job(String spec, int count, int cpu, int estimateMs) {
        return "{\"spec\":\"%s\",\"steps\":[{\"count\":%d,\"cpu\":%d,\"mem_mb\":64,\"estimate_ms\":%d,\"requires\":\"a\"}]}"
                .formatted(spec, count, cpu, estimateMs);
    }

    /** Counts starts after a run of the same task has ended done, if that end is acknowledged then or later (TWICE). */
    private static int breaches(Cluster cluster, Record record) {
        int breaches = 0;
        synchronized (cluster.seen) {
            for (Map.Entry<String, List<Cluster.RunSeen>> entry : cluster.seen.entrySet()) {
                List<Cluster.RunSeen> runs = entry.getValue();
                for (Cluster.RunSeen done : runs) {
                    for (Cluster.RunSeen later : runs) {
                        if (done.how.equals("done") && done.acknowledgedMs >= 0 && later.startedMs > done.endedMs) {
                            breaches++;
                            record.line("TWICE %s: %s; then %s", entry.getKey(), done, later);
                        }
                    }
                }
            }
        }
        return breaches;
    }
}
