package review;

import java.nio.file.Path;
import java.util.List;

/** A worker is cut off; the task that runs there ends done; then the worker crashes and starts again. That happens twice. */
final class EndedBefore {
    private static final String JOB = "dddddddddddddddd";
    private static final String PATH = "/jobs/" + JOB;
    private static final int WORKERS = 8;
    private static final int CUTS = 2;
    private static final int ESTIMATE_MS = 4_000;
    private static final int DURATION_MS = 900;
    private static final long CUT_AFTER_MS = 300;
    private static final long CUT_MS = 1_700;
    private static final long DOWN_MS = 500;

    private EndedBefore() {}

    static int run(Record record, Path directory, boolean trouble) throws Exception {
        try (Cluster cluster = new Cluster(record, directory, (spec, task, run) -> DURATION_MS)) {
            cluster.configure(3, List.of(new Cluster.Queue("jobs", "/jobs/", 1, 3)), 0);
            for (int i = 1; i <= WORKERS; i++) {
                cluster.addWorker("worker-" + i, 64_000, 262_144, "a", "r-" + i / 4);
            }
            cluster.startHosts(3);
            if (!Cluster.await(30_000, () -> cluster.hosts.stream().allMatch(Cluster.Host::ready))
                    || !cluster.submit(PATH, Traffic.job("work", 1, 9_000, ESTIMATE_MS, ""), 5)) {
                throw new Main.NotRunException("the job was not accepted");
            }
            for (int i = 1; i <= CUTS && trouble; i++) {
                int runs = i;
                if (!Cluster.await(20_000, () -> runsOf(cluster) == runs)) {
                    throw new Main.NotRunException("the job does not run");
                }
                Worker worker = cluster.workers.stream().filter(one -> !one.running().isEmpty()).findFirst()
                        .orElseThrow(() -> new Main.NotRunException("the run has ended before its worker was cut off"));
                Thread.sleep(CUT_AFTER_MS);
                worker.cutOff();
                Thread.sleep(CUT_MS);
                cluster.crash(worker);
                Thread.sleep(DOWN_MS);
                cluster.restart(worker);
            }
            Cluster.await(30_000, () -> List.of("completed", "failed").contains(cluster.state(PATH)));
            String state = cluster.state(PATH);
            record.line("the job is shown as %s; of its %d runs %d have ended done, %d failed, %d with a crash of their worker", state,
                    runsOf(cluster), ended(cluster, "done"), ended(cluster, "failed"), ended(cluster, "crashed"));
            return state.equals("failed") && ended(cluster, "failed") == 0 && ended(cluster, "crashed") == 0 ? 1 : 0;
        }
    }

    private static int runsOf(Cluster cluster) {
        synchronized (cluster.seen) {
            return cluster.seen.values().stream().mapToInt(List::size).sum();
        }
    }

    private static long ended(Cluster cluster, String how) {
        synchronized (cluster.seen) {
            return cluster.seen.values().stream().flatMap(List::stream).filter(run -> run.how.equals(how)).count();
        }
    }
}
