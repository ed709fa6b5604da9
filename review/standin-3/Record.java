import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedNs = System.nanoTime();
    private final List<Event> events = new ArrayList<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long nowMs() {
        return (System.nanoTime() - startedNs) / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf("%7d %s%n", nowMs(), text);
        out.flush();
    }

    synchronized void run(String worker, String task, int run, String what) {
        events.add(new Event(nowMs(), worker, task, run, what));
        line("worker " + worker + " task " + task + " run " + run + " " + what);
    }

    /** Returns what happened to the runs of a job, in order. */
    synchronized List<Event> events(String job) {
        return events.stream().filter(event -> event.task.startsWith(job + ".")).toList();
    }

    @Override
    public synchronized void close() {
        out.close();
    }

    record Event(long atMs, String worker, String task, int run, String what) {}
}
