package review;

import java.nio.file.Path;
import java.util.List;

/** A worker crashes under a job, and after the job has started again the worker that runs it then crashes, too. */
final class TwoCrashes {
    private static final String JOB = "dddddddddddddddd";
    private static final String PATH = "/jobs/" + JOB;
    private static final int CRASHES = 2;
    private static final long RUN_MS = 1_500;
    private static final long DOWN_MS = 1_000;

    private TwoCrashes() {}

    static int run(Record record, Path directory, boolean trouble) throws Exception {
        try (Cluster cluster = new Cluster(record, directory, (spec, task, run) -> 4_000)) {
            cluster.configure(3, List.of(new Cluster.Queue("jobs", "/jobs/", 1, 3)), 0);
            for (int i = 1; i <= 8; i++) {
                cluster.addWorker("worker-" + i, 64_000, 262_144, "a", "r-" + i / 4);
            }
            cluster.startHosts(3);
            if (!Cluster.await(30_000, () -> cluster.hosts.stream().allMatch(Cluster.Host::ready))
                    || !cluster.submit(PATH, Traffic.job("work", 1, 9_000, 4_000, ""), 5)) {
                throw new Main.NotRunException("the job was not accepted");
            }
            for (int i = 1; i <= CRASHES && trouble; i++) {
                int runs = i;
                if (!Cluster.await(15_000, () -> runsOf(cluster) == runs)) {
                    throw new Main.NotRunException("the job does not run");
                }
                Thread.sleep(RUN_MS);
                Worker worker = cluster.workers.stream().filter(one -> !one.running().isEmpty()).findFirst().orElseThrow();
                cluster.crash(worker);
                Thread.sleep(DOWN_MS);
                cluster.restart(worker);
            }
            Cluster.await(20_000, () -> List.of("completed", "failed").contains(cluster.state(PATH)));
            String state = cluster.state(PATH);
            long failed = cluster.ended(JOB, "failed");
            record.line("the job is shown as %s; %d of its runs have ended failed", state, failed);
            return state.equals("failed") && failed == 0 ? 1 : 0;
        }
    }

    private static int runsOf(Cluster cluster) {
        synchronized (cluster.seen) {
            return cluster.seen.values().stream().mapToInt(List::size).sum();
        }
    }
}
