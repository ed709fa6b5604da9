package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** All workers of a failure domain crash while a job of many tasks runs there, and are back some seconds later. */
final class DomainCrash {
    private static final List<String> ZONES = List.of("north", "south", "west");
    private static final int WORKERS_PER_DOMAIN = 11;
    private static final int TASKS = 1_150;
    private static final long DOWN_MS = 4_500;

    private DomainCrash() {}

    static int run(Record record, Path directory, boolean trouble) throws Exception {
        Worker.Work work = (spec, task, run) -> spec.equals("long") ? 6_000 : 400;
        try (Cluster cluster = new Cluster(record, directory, work)) {
            for (String zone : ZONES) {
                for (int i = 1; i <= WORKERS_PER_DOMAIN; i++) {
                    cluster.addWorkerIn(zone, "%s-%02d".formatted(zone, i), 64_000, 262_144, "a", "r-%s-%d".formatted(zone, i / 8));
                }
            }
            Traffic traffic = Traffic.start(cluster);
            traffic.run(4_000);
            traffic.submit("ffffffffffffffff", Traffic.job("long", TASKS, 600, 6_000, ""));
            if (!Cluster.await(5_000, () -> cluster.startedTasks("ffffffffffffffff") > TASKS * 9 / 10)) {
                throw new Main.NotRunException("the large job did not start");
            }
            traffic.run(1_500);
            List<Worker> crashed = new ArrayList<>();
            if (trouble) {
                // the domain that runs the larger part of the job
                Map<String, Integer> runs = new TreeMap<>();
                cluster.workers.forEach(worker -> runs.merge(worker.zone, worker.running().size(), Integer::sum));
                String zone = ZONES.stream().max(Comparator.comparing(runs::get)).orElseThrow();
                cluster.workers.stream().filter(worker -> worker.zone.equals(zone)).forEach(crashed::add);
                crashed.forEach(cluster::crash);
            }
            traffic.run(DOWN_MS);
            for (Worker worker : crashed) {
                cluster.restart(worker);
            }
            traffic.run(30_000);
            return traffic.finish();
        }
    }
}
