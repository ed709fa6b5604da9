import java.util.HashMap;
import java.util.Map;

/** A worker leaves an order to start unanswered, restarts under its identifier, and carries the order out then. */
final class Case11 implements Case.Script {
    private static final int WORKERS = 8;
    private static final int CORES = 8;
    private static final int SMALL_TASKS = 12;
    private static final long DOWN_MS = 1_000;
    private static final long LATEST_MS = 12_000;
    private static final String JOB = "00000000000000ca";
    private static final String OTHER = "00000000000000cb";

    public static void main(String[] arguments) throws Exception {
        Case.main(new Case11(), arguments[0]);
    }

    @Override
    public Fleet fleet(Record record) throws Exception {
        return new Fleet(record, WORKERS, CORES * 1_000, 3);
    }

    @Override
    public int run(Fleet fleet, Record record, boolean trouble) throws Exception {
        Thread.sleep(3_000);
        String first = "00000000000000b0";
        if (!fleet.submit(first, Fleet.job("work 800", SMALL_TASKS, 1_000, 800, false, 0), 10_000)
                || !Fleet.await(20_000, () -> fleet.state(first).equals("completed"))) {
            return 2;
        }
        Thread.sleep(1_000);
        Worker late = fleet.workers.getFirst();
        if (trouble) {
            late.deferNextStart();
        }
        // a task fills a worker, so each worker gets one order; the other job is due earlier and takes the first free worker
        if (!fleet.submit(JOB, Fleet.job("work 5000", WORKERS, CORES * 1_000, 5_000, false, 0), 10_000)
                || !fleet.submit(OTHER, Fleet.job("work 20000", 1, CORES * 1_000, 500, false, 0), 10_000)) {
            return 2;
        }
        if (trouble && !restart(late, record)) {
            return 2;
        }
        Fleet.await(40_000, () -> fleet.state(JOB).equals("completed"));
        return ranTwice(record) ? 1 : fleet.state(JOB).equals("completed") ? 0 : 2;
    }

    /** Restarts the worker while the task runs elsewhere. */
    private static boolean restart(Worker late, Record record) throws Exception {
        long orderedAtMs = record.nowMs();
        boolean elsewhere = Fleet.await(LATEST_MS - 4_000, () -> record.events(JOB).stream()
                .anyMatch(event -> event.task().equals(late.deferredTask())
                        && event.what().equals("starts")
                        && !event.worker().equals(late.id)));
        if (!elsewhere) {
            record.line("the task whose order was left unanswered started nowhere else");
            return false;
        }
        Thread.sleep(500);
        late.crash(DOWN_MS);
        return record.nowMs() - orderedAtMs < LATEST_MS;
    }

    /** Whether two runs of one task were there at the same time, or one began after the task was done. */
    private static boolean ranTwice(Record record) {
        Map<String, Integer> running = new HashMap<>();
        Map<String, Boolean> done = new HashMap<>();
        boolean twice = false;
        for (Record.Event event : record.events(JOB)) {
            boolean starts = event.what().equals("starts");
            int now = running.merge(event.task(), starts ? 1 : -1, Integer::sum);
            if (starts && (now > 1 || done.containsKey(event.task()))) {
                record.line("twice: " + event);
                twice = true;
            }
            if (event.what().endsWith("done")) {
                done.put(event.task(), true);
            }
        }
        return twice;
    }
}
