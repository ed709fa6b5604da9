import java.util.List;

/** A worker that has nearly all that a tenant may have running is lost for good while a lasting job of the tenant waits. */
final class Case15 implements Case.Script {
    private static final int WORKERS = 8;
    private static final int CORES = 8;
    private static final int UPPER_BOUND_CPU = 10_000;
    private static final long CALM_MS = 4_000;
    private static final long NOTHING_RUNS_MS = 3_000;
    private static final String BATCH = "00000000000000ba";
    private static final String SERVICE = "00000000000000aa";

    public static void main(String[] arguments) throws Exception {
        Case.main(new Case15(), arguments[0]);
    }

    @Override
    public Fleet fleet(Record record) throws Exception {
        return new Fleet(record, WORKERS, CORES * 1_000, 3, UPPER_BOUND_CPU);
    }

    @Override
    public int run(Fleet fleet, Record record, boolean trouble) throws Exception {
        Thread.sleep(4_000);
        // the tenant's limit leaves no room for the service while the batch runs
        if (!fleet.submit(BATCH, Fleet.job("work 6000", CORES, 1_000, 6_000, false, 0), 10_000)
                || !Fleet.await(10_000, () -> record.events(BATCH).size() >= CORES)) {
            return 2;
        }
        if (!fleet.submit(SERVICE, Fleet.job("last", 1, 4_000, 1_000, true, 0), 5_000)) {
            return 2;
        }
        List<Worker> busy = fleet.workers.stream()
                .filter(worker -> record.events(BATCH).stream().anyMatch(event -> event.worker().equals(worker.id)))
                .toList();
        if (busy.size() != 1) {
            record.line("the batch runs on " + busy.size() + " workers, not on one");
            return 2;
        }
        Thread.sleep(trouble ? 100 : 7_000);
        long lostAtMs = record.nowMs();
        if (trouble) {
            busy.getFirst().crash();
        }
        Fleet.await(15_000, () -> !record.events(SERVICE).isEmpty());
        long startMs = record.events(SERVICE).isEmpty() ? Long.MAX_VALUE : record.events(SERVICE).getFirst().atMs();
        long mustRunByMs = lostAtMs + CALM_MS + NOTHING_RUNS_MS;
        record.line("worker lost at " + lostAtMs + ", the service starts at " + startMs + ", must run by " + mustRunByMs);
        return startMs > mustRunByMs ? 1 : 0;
    }
}
