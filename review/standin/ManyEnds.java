package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A job of many small tasks ends on one worker while the leader is being replaced. */
final class ManyEnds {
    private static final int TASKS = 700;
    private static final String PREFIX = "/jobs/";
    private static final String WARM_UP = "00000000000000a1";
    private static final String LARGE = "00000000000000b2";

    private ManyEnds() {}

    static int run(Record record, Path directory, boolean trouble) throws Exception {
        Worker.Work work = (spec, task, run) ->
                spec.equals("short") ? 300 : 6_000 + 10 * (Integer.parseInt(task.substring(task.lastIndexOf('.') + 1)) % 50);
        try (Cluster cluster = new Cluster(record, directory, work)) {
            cluster.configure(3, List.of(new Cluster.Queue("jobs", PREFIX, 1, 3)), 0);
            for (int i = 1; i <= 3; i++) {
                cluster.addWorker("worker-" + i, 64_000, 262_144, "a", "r1-" + i);
            }
            cluster.startHosts(3);
            boolean ready = Cluster.await(30_000, () -> cluster.hosts.stream().allMatch(Cluster.Host::ready));
            if (!ready || !cluster.submit(PREFIX + WARM_UP, job("short", 6, 500, 300), 5)
                    || !Cluster.await(10_000, () -> cluster.state(PREFIX + WARM_UP).equals("completed"))) {
                throw new Main.NotRunException("the deployment did not complete a small job");
            }
            if (!cluster.submit(PREFIX + LARGE, job("long", TASKS, 80, 6_000), 5)
                    || !Cluster.await(15_000, () -> cluster.ended(LARGE, "done") > 0)) {
                throw new Main.NotRunException("the large job did not start");
            }
            record.line("%d tasks of the large job have started, the first has ended", cluster.startedTasks(LARGE));
            if (trouble) {
                Cluster.Host leader = cluster.leader().orElseThrow(() -> new Main.NotRunException("no leader"));
                leader.kill();
                Thread.sleep(1_000);
                leader.start();
            }
            boolean completed = Cluster.await(60_000, () -> cluster.state(PREFIX + LARGE).equals("completed"));
            record.line("the large job is %s", completed ? "completed" : "not completed: " + cluster.state(PREFIX + LARGE));
            Thread.sleep(1_500);
            return breaches(cluster, record);
        }
    }

    private static String job(String spec, int count, int cpu, int estimateMs) {
        return "{\"spec\":\"%s\",\"steps\":[{\"count\":%d,\"cpu\":%d,\"mem_mb\":64,\"estimate_ms\":%d}]}"
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
