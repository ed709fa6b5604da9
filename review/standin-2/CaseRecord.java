import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, with the time in milliseconds since the begin of the case. */
final class CaseRecord implements AutoCloseable {
    /** A start or an end of a run, as its worker saw it; {@code how} is empty for a start. */
    record Event(long atMs, String task, String worker, String how) {}

    private final long beganAtMs = System.nanoTime() / 1_000_000;
    private final List<Event> events = new ArrayList<>();
    private final PrintWriter out;

    CaseRecord(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long nowMs() {
        return System.nanoTime() / 1_000_000 - beganAtMs;
    }

    synchronized void line(String kind, String text) {
        String line = "%7d %-9s %s".formatted(nowMs(), kind, text);
        out.println(line);
        System.out.println(line);
    }

    synchronized void started(String task, int run, String worker, String spec) {
        events.add(new Event(nowMs(), task, worker, ""));
        line("start", task + " run " + run + " on " + worker + " spec " + spec);
    }

    synchronized void ended(String task, String worker, String how) {
        events.add(new Event(nowMs(), task, worker, how));
        line("end", task + " on " + worker + " " + how);
    }

    /** Returns the events of a job's runs. */
    synchronized List<Event> events(String job) {
        return events.stream().filter(event -> event.task.startsWith(job + ".")).toList();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
