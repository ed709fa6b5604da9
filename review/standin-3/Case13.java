import java.util.HashSet;
import java.util.Set;

/** All open connections to the workers fall silent at once; new ones work. */
final class Case13 implements Case.Script {
    private static final int WORKERS = 3;
    private static final int CORES = 8;
    private static final int MAY_MISS = 1;
    private static final long CONTACT_MS = 3_000;
    private static final long WATCH_MS = 14_000;
    private static final String SERVICE = "00000000000000aa";
    private static final String LATER = "00000000000000ab";

    public static void main(String[] arguments) throws Exception {
        Case.main(new Case13(), arguments[0]);
    }

    @Override
    public Fleet fleet(Record record) throws Exception {
        return new Fleet(record, WORKERS, CORES * 1_000, 3);
    }

    @Override
    public int run(Fleet fleet, Record record, boolean trouble) throws Exception {
        for (int i = 0; i < 2; i++) {
            String id = "00000000000000b" + i;
            boolean accepted = fleet.submit(id, Fleet.job("work 800", WORKERS * CORES, 1_000, 800, false, 0), 10_000);
            if (!accepted || !Fleet.await(20_000, () -> fleet.state(id).equals("completed"))) {
                return 2;
            }
        }
        // one task of the service fits on each worker
        if (!fleet.submit(SERVICE, Fleet.job("last", WORKERS, 5_000, 1_000, true, MAY_MISS), 10_000)
                || !Fleet.await(10_000, () -> record.events(SERVICE).size() >= WORKERS)) {
            return 2;
        }
        Thread.sleep(5_000);
        long silentAtMs = record.nowMs();
        for (Worker worker : fleet.workers) {
            if (trouble) {
                record.line("open connections to " + worker.id + " fall silent: " + worker.proxy.silence());
            }
        }
        Thread.sleep(CONTACT_MS + 200);
        boolean accepted = fleet.submit(LATER, Fleet.job("last", 1, 500, 1_000, true, 0), 5_000);
        long acceptedAtMs = record.nowMs();
        Thread.sleep(Math.max(0, silentAtMs + WATCH_MS - record.nowMs()));
        if (accepted) {
            long startMs = record.events(LATER).isEmpty() ? -1 : record.events(LATER).getFirst().atMs();
            record.line("job handed in " + (acceptedAtMs - silentAtMs) + " ms after the silence: first start at " + startMs
                    + ", accepted at " + acceptedAtMs);
        }
        return availabilityBroken(record, silentAtMs + CONTACT_MS) ? 1 : 0;
    }

    /** Whether a lease lapsed under a task of the service, once the channels are calm, while as many others as may be missing were away. */
    private static boolean availabilityBroken(Record record, long calmSinceMs) {
        Set<String> atWork = new HashSet<>();
        boolean broken = false;
        for (Record.Event event : record.events(SERVICE)) {
            if (event.what().equals("starts")) {
                atWork.add(event.task());
                continue;
            }
            boolean lapsed = event.what().endsWith("lapsed") && event.atMs() > calmSinceMs;
            int othersAway = WORKERS - atWork.size();
            atWork.remove(event.task());
            if (lapsed && othersAway >= MAY_MISS) {
                record.line("lapsed at " + event.atMs() + " with " + othersAway + " others away: " + event.task());
                broken = true;
            }
        }
        return broken;
    }
}
