import java.nio.file.Path;
import java.util.List;

/** The worker of a task that lasts is lost for good, and at about the same time the process that leads is killed. */
final class LostWithLeader {
    private static final String JOB = "21d94b36f85c0e7a";
    private static final String BODY =
            "{\"spec\":\"last\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"long_running\":true}]}";

    private static final int WORKERS = 8;

    /** How long after the worker the process is killed, and when it is started again. */
    private static final long BETWEEN_MS = 200;

    private static final long DOWN_MS = 500;

    /** A task that lasts may stand still for 3 s, counted from 6 s after its last run. */
    private static final long AWAY_MS = 9_000;

    private static final long WATCH_MS = 20_000;

    private LostWithLeader() {}

    public static void main(String[] arguments) throws Exception {
        Lab.main(Path.of(arguments[0]), (lab, trouble) -> {
            lab.start(3, WORKERS);
            String host = lab.hosts().getFirst();
            if (lab.consumer(host, "POST", JOB, BODY, 3_000).status() != 200) {
                throw new IllegalStateException("the job was not accepted");
            }
            lab.await("the task runs", 20_000, () -> lab.workerOf(JOB) != null);
            Thread.sleep(5_000);
            long lostAtMs = lab.record.nowMs();
            if (trouble) {
                lab.workerOf(JOB).goDark();
                Thread.sleep(BETWEEN_MS);
                String leader = lab.leader();
                lab.kill(leader);
                Thread.sleep(DOWN_MS);
                lab.startHost(leader);
            }
            long endMs = lostAtMs + WATCH_MS;
            while (lab.record.nowMs() < endMs && lab.workerOf(JOB) == null) {
                Thread.sleep(10);
            }
            boolean back = lab.workerOf(JOB) != null;
            long awayMs = back && !trouble ? 0 : lab.record.nowMs() - lostAtMs;
            List<CaseRecord.Event> events = lab.record.events(JOB);
            lab.record.line("judged", "events " + events.size() + ", at work again " + back + " after " + awayMs + " ms");
            lab.state(host, JOB);
            return awayMs > AWAY_MS;
        });
    }
}
