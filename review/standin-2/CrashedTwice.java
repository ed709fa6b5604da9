import java.nio.file.Path;

/** Two workers crash one after the other, each soon after it has started the task of a job that lasts. */
final class CrashedTwice {
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String BODY =
            "{\"spec\":\"last\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"long_running\":true}]}";
    private static final int WORKERS = 8;
    private static final int CRASHES = 2;

    /** How long the task has run when its worker crashes, and for how long that worker is down. */
    private static final long RUN_MS = 1_500;

    private static final long DOWN_MS = 1_000;

    /** Twice as long as a task that lasts may be away. */
    private static final long WATCH_MS = 18_000;

    private CrashedTwice() {}

    public static void main(String[] arguments) throws Exception {
        Lab.main(Path.of(arguments[0]), (lab, trouble) -> {
            lab.start(3, WORKERS);
            String host = lab.hosts().getFirst();
            if (lab.consumer(host, "POST", JOB, BODY, 3_000).status() != 200) {
                throw new IllegalStateException("the job was not accepted");
            }
            for (int i = 0; i < CRASHES; i++) {
                lab.await("the task runs", 20_000, () -> lab.workerOf(JOB) != null);
                Thread.sleep(RUN_MS);
                if (trouble) {
                    lab.workerOf(JOB).crash(DOWN_MS);
                }
            }
            long endMs = lab.record.nowMs() + WATCH_MS;
            String state = "";
            while (lab.record.nowMs() < endMs && !state.equals("failed")) {
                Thread.sleep(1_000);
                state = lab.state(host, JOB);
            }
            long failed = lab.record.events(JOB).stream()
                    .filter(event -> event.how().equals("failed"))
                    .count();
            lab.record.line(
                    "judged", "state " + state + ", ends failed " + failed + ", at work " + (lab.workerOf(JOB) != null));
            return state.equals("failed") && failed == 0;
        });
    }
}
