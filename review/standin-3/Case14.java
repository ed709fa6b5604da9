/** A worker restarts under its identifier, gets a task that lasts, and is lost for good soon after. */
final class Case14 implements Case.Script {
    private static final int WORKERS = 8;
    private static final int CORES = 8;
    private static final long DOWN_MS = 600;
    private static final long RUNS_MS = 300;
    private static final long MAX_AWAY_MS = 9_000;
    private static final String SERVICE = "00000000000000aa";
    private static final String TASK = SERVICE + ".0.0.0";
    private static final String BATCH = "00000000000000ba";

    public static void main(String[] arguments) throws Exception {
        Case.main(new Case14(), arguments[0]);
    }

    @Override
    public Fleet fleet(Record record) throws Exception {
        return new Fleet(record, WORKERS, CORES * 1_000, 3);
    }

    @Override
    public int run(Fleet fleet, Record record, boolean trouble) throws Exception {
        Thread.sleep(4_000);
        if (!fleet.submit(SERVICE, Fleet.job("last", 1, CORES * 1_000, 1_000, true, 0), 10_000)
                || !Fleet.await(10_000, () -> record.events(SERVICE).size() == 1)) {
            return 2;
        }
        Worker worker = fleet.workers.stream().filter(one -> one.runs(TASK)).findFirst().orElseThrow();
        Thread.sleep(4_000);
        // fills all other workers until soon after the loss
        int others = WORKERS - 1;
        if (!fleet.submit(BATCH, Fleet.job("work 4500", others, CORES * 1_000, 4_500, false, 0), 10_000)
                || !Fleet.await(10_000, () -> record.events(BATCH).size() >= others)) {
            return 2;
        }
        Thread.sleep(500);
        if (!trouble) {
            Thread.sleep(15_000);
            return worker.runs(TASK) ? 0 : 1;
        }
        worker.crash(DOWN_MS);
        if (!Fleet.await(8_000, () -> worker.runs(TASK))) {
            record.line("the task did not start on the restarted worker");
            return 2;
        }
        Thread.sleep(RUNS_MS);
        worker.crash();
        long lostAtMs = record.nowMs();
        Fleet.await(16_000, () -> fleet.workers.stream().anyMatch(one -> one.runs(TASK)));
        long startMs = record.events(SERVICE).getLast().atMs();
        boolean runs = fleet.workers.stream().anyMatch(one -> one.runs(TASK));
        record.line("lost at " + lostAtMs + ", runs again: " + runs + ", away for " + (startMs - lostAtMs) + " ms");
        return !runs || startMs - lostAtMs > MAX_AWAY_MS ? 1 : 0;
    }
}
