/** The answer that lists the end of a task is lost, and its worker crashes right after; twice. */
final class Case12 implements Case.Script {
    private static final int WORKERS = 8;
    private static final int CORES = 8;
    private static final int TROUBLES = 2;
    private static final int SMALL_JOBS = 40;
    private static final long SMALL_JOB_EVERY_MS = 250;
    private static final long CRASH_AFTER_MS = 100;
    private static final long DOWN_MS = 600;
    private static final String SERVICE = "00000000000000aa";
    private static final String JOB = "00000000000000ca";

    public static void main(String[] arguments) throws Exception {
        Case.main(new Case12(), arguments[0]);
    }

    @Override
    public Fleet fleet(Record record) throws Exception {
        return new Fleet(record, WORKERS, CORES * 1_000, 3);
    }

    @Override
    public int run(Fleet fleet, Record record, boolean trouble) throws Exception {
        Thread.sleep(3_000);
        // the worker that has this task is preferred by small ones, so that the others stay empty
        if (!fleet.submit(SERVICE, Fleet.job("last", 1, 500, 1_000, true, 0), 10_000)) {
            return 2;
        }
        Thread small = Thread.ofVirtual().start(() -> submitSmallJobs(fleet));
        Thread.sleep(1_000);
        int requestsBefore = Worker.REQUESTS.get();
        Thread.sleep(1_000);
        for (Worker worker : fleet.workers) {
            if (trouble) {
                worker.loseAnswerAfter(JOB);
            }
        }
        if (!fleet.submit(JOB, Fleet.job("work 900", 1, CORES * 1_000, 4_000, false, 0), 10_000)) {
            return 2;
        }
        for (int i = 1; trouble && i <= TROUBLES; i++) {
            int ends = i;
            long limitMs = record.nowMs() + 10_000;
            while (ends(record) < ends && record.nowMs() < limitMs) {
                Thread.sleep(5);
            }
            if (ends(record) < ends) {
                break;
            }
            Thread.sleep(CRASH_AFTER_MS);
            String id = record.events(JOB).getLast().worker();
            fleet.workers.stream().filter(worker -> worker.id.equals(id)).findFirst().orElseThrow().crash(DOWN_MS);
        }
        record.line("calls to workers in the last seconds: " + (Worker.REQUESTS.get() - requestsBefore));
        for (Worker worker : fleet.workers) {
            worker.loseAnswerAfter("");
        }
        Fleet.await(15_000, () -> !"queued running".contains(fleet.state(JOB)));
        String state = fleet.state(JOB);
        record.line("state " + state + ", runs that ended as done " + ends(record) + ", others "
                + (record.events(JOB).size() - 2 * ends(record)));
        small.join();
        return state.equals("failed") ? 1 : state.equals("completed") ? 0 : 2;
    }

    private static long ends(Record record) {
        return record.events(JOB).stream().filter(event -> event.what().endsWith("done")).count();
    }

    private static void submitSmallJobs(Fleet fleet) {
        try {
            for (int i = 0; i < SMALL_JOBS; i++) {
                fleet.submit(String.format("00000000000ff%03x", i), Fleet.job("work 150", 4, 500, 150, false, 0), 3_000);
                Thread.sleep(SMALL_JOB_EVERY_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
