import java.nio.file.Path;
import java.util.List;

/** A consumer hands a job in, gets no answer, leaves and cancels the job; the store performs the host's write only later. */
final class CancelledWithoutAnswer {
    private static final String JOB = "7a21d94b36f85c0e";
    private static final String BODY = "{\"spec\":\"ms=4000\",\"steps\":["
            + "{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":4000}]}";

    private static final int WORKERS = 8;

    /** How long the consumer waits for its answer; its time budget is 3 s. */
    private static final long PATIENCE_MS = 800;

    /** The store's answers are lost for this long, and writes without an answer are done this much later. */
    private static final long LOST_MS = 500;

    private static final long LATE_MS = 5_000;

    private static final long CANCEL_MS = 3_000;
    private static final long WATCH_MS = 14_000;

    private CancelledWithoutAnswer() {}

    public static void main(String[] arguments) throws Exception {
        Lab.main(Path.of(arguments[0]), (lab, trouble) -> {
            lab.start(3, WORKERS);
            Thread.sleep(4_000);
            List<String> others =
                    lab.hosts().stream().filter(name -> !name.equals(lab.leader())).toList();
            String first = others.get(0);
            String second = others.get(1);
            long lostUntilMs = lab.record.nowMs() + LOST_MS;
            if (trouble) {
                lab.store.gate((caller, path, body) -> {
                    boolean createsJob = body.path("writes").findValuesAsText("key").contains(JOB);
                    if (!createsJob || lab.record.nowMs() >= lostUntilMs) {
                        return true;
                    }
                    lab.record.line("lost", "a write of " + caller + " is done " + LATE_MS + " ms later, unanswered");
                    Thread.sleep(LATE_MS);
                    lab.record.line("late", "the write of " + caller + " is done if its condition still holds");
                    return false;
                });
            }
            Lab.Answer handedIn = lab.consumer(first, "POST", JOB, BODY, PATIENCE_MS);
            Lab.Answer cancelled = lab.consumer(second, "DELETE", JOB, "", 3_000);
            long cancelledAtMs = lab.record.nowMs();
            if (cancelled.status() != 410 && cancelled.status() / 100 != 2) {
                throw new IllegalStateException("the cancelling was not acknowledged");
            }
            Thread.sleep(WATCH_MS);
            List<CaseRecord.Event> late = lab.record.events(JOB).stream()
                    .filter(event -> event.how().isEmpty() && event.atMs() > cancelledAtMs + CANCEL_MS)
                    .toList();
            lab.record.line("judged", "handed in " + handedIn.status() + ", cancelled " + cancelled.status()
                    + ", starts later than " + CANCEL_MS + " ms after it: " + late.size());
            return !late.isEmpty();
        });
    }
}
