import java.util.List;

/** Two workers crash, some time apart, each under the first seconds of a harmless task. */
final class Case11 implements Case.Script {
    private static final int WORKERS = 8;
    private static final int CORES = 8;
    private static final int CRASHES = 2;
    private static final long DOWN_MS = 1_000;
    private static final String JOB = "00000000000000ca";

    public static void main(String[] arguments) throws Exception {
        Case.main(new Case11(), arguments[0]);
    }

    @Override
    public Fleet fleet(Record record) throws Exception {
        return new Fleet(record, WORKERS, CORES * 1_000, 3);
    }

    @Override
    public int run(Fleet fleet, Record record, boolean trouble) throws Exception {
        String first = "00000000000000b0";
        if (!fleet.submit(first, Fleet.job("work 800", WORKERS, 1_000, 800, false, 0), 10_000)
                || !Fleet.await(20_000, () -> fleet.state(first).equals("completed"))) {
            return 2;
        }
        Thread.sleep(3_000);
        if (!fleet.submit(JOB, Fleet.job("work 6000", 1, 1_000, 6_000, false, 0), 10_000)) {
            return 2;
        }
        for (int crash = 0; trouble && crash < CRASHES; crash++) {
            int starts = crash + 1;
            if (!Fleet.await(15_000, () -> starts(record) >= starts)) {
                break;
            }
            Thread.sleep(1_000);
            for (Worker worker : fleet.workers) {
                if (worker.runs(JOB + ".0.0.0")) {
                    worker.crash(DOWN_MS);
                }
            }
        }
        Fleet.await(20_000, () -> !List.of("queued", "running").contains(fleet.state(JOB)));
        String state = fleet.state(JOB);
        long failedEnds = record.events(JOB).stream()
                .filter(event -> event.what().endsWith("failed"))
                .count();
        record.line("state " + state + ", starts " + starts(record) + ", ends as failed " + failedEnds);
        return state.equals("completed") ? 0 : state.equals("failed") && failedEnds == 0 ? 1 : 2;
    }

    private static long starts(Record record) {
        return record.events(JOB).stream().filter(event -> event.what().equals("starts")).count();
    }
}
