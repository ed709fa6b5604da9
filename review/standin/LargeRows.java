package review;

import java.nio.file.Path;

/** Small jobs come all the time; jobs come among them whose records outgrow a row of the store. */
final class LargeRows {
    private static final int WORKERS = 4;
    private static final int LARGE_JOB_TASKS = 1_400;
    private static final int STEPS = 5;
    private static final int MANY_TIMES = 400;
    private static final int FEW_TIMES = 100;
    private static final long INTERVAL_MS = 150;
    private static final Worker.Work WORK = (spec, task, run) -> switch (spec) {
        case "long" -> 3_000;
        case "tick" -> 50;
        default -> 400;
    };

    private LargeRows() {}

    /** A job for each worker, each of many small tasks, comes at once; without the disruption none of them. */
    static int largeJobs(Record record, Path directory, boolean trouble) throws Exception {
        try (Cluster cluster = cluster(record, directory)) {
            Traffic traffic = Traffic.start(cluster);
            traffic.run(6_000);
            for (int i = 0; trouble && i < WORKERS; i++) {
                traffic.submit("fffffffffffffff" + i, Traffic.job("long", LARGE_JOB_TASKS, 45, 3_000, ""));
            }
            traffic.run(18_000);
            return traffic.finish();
        }
    }

    /** A job of five steps comes that runs many times; without the disruption it runs fewer times. */
    static int recurringJob(Record record, Path directory, boolean trouble) throws Exception {
        StringBuilder steps = new StringBuilder(Traffic.step(1, 500, 50, ""));
        for (int i = 1; i < STEPS; i++) {
            steps.append(',').append(Traffic.step(1, 500, 50, ",\"after\":[" + (i - 1) + "]"));
        }
        try (Cluster cluster = cluster(record, directory)) {
            Traffic traffic = Traffic.start(cluster);
            traffic.run(4_000);
            traffic.submit(
                    "eeeeeeeeeeeeeeee",
                    "{\"spec\":\"tick\",\"repeat_count\":%d,\"start_at_ms\":%d,\"interval_ms\":%d,\"steps\":[%s]}"
                            .formatted(trouble ? MANY_TIMES : FEW_TIMES, System.currentTimeMillis() + 1_000, INTERVAL_MS, steps));
            traffic.run(64_000);
            return traffic.finish();
        }
    }

    private static Cluster cluster(Record record, Path directory) throws Exception {
        Cluster cluster = new Cluster(record, directory, WORK);
        for (int i = 1; i <= WORKERS; i++) {
            cluster.addWorker("worker-" + i, 64_000, 262_144, "a", "r1-" + i);
        }
        return cluster;
    }
}
