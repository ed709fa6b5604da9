package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.acaciafold.fleet.Job;
import org.acaciafold.platform.RowChanges;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/** Polls the store for jobs and cancellations that their hosts could not send to the leader. */
final class JobWatch {
    private static final Logger LOG = LoggerFactory.getLogger(JobWatch.class);

    /** Polling period, well below the three seconds within which a cancelled task must have stopped. */
    private static final long POLL_MS = 800;

    private final Timers loop;
    private final Feed feed;
    private final RecordReader records;
    private final Supplier<Mono<TermStore.Loaded>> load;
    private final Consumer<List<Job>> accept;
    private final Consumer<String> cancel;
    private long jobsVersion;
    private long cancellationsVersion;
    private boolean polling;
    private boolean ended;

    /**
     * Creates the watch of a term.
     *
     * @param loop the timers of the leader's thread
     * @param feed reads the changes of a table
     * @param records decodes the rows
     * @param load reads all records, when the changes are no longer available
     * @param accept receives the jobs
     * @param cancel receives the identifier of each cancelled job
     */
    JobWatch(
            Timers loop,
            Feed feed,
            RecordReader records,
            Supplier<Mono<TermStore.Loaded>> load,
            Consumer<List<Job>> accept,
            Consumer<String> cancel) {
        this.loop = loop;
        this.feed = feed;
        this.records = records;
        this.load = load;
        this.accept = accept;
        this.cancel = cancel;
    }

    /** Starts to read changes of the tables, from the versions at which they were loaded. */
    void start(TermStore.Loaded loaded) {
        continueAfter(loaded);
        poll();
    }

    void end() {
        ended = true;
    }

    private void poll() {
        if (ended) {
            return;
        }
        loop.after(POLL_MS, this::poll);
        if (!polling) {
            polling = true;
            // a job is stored before its cancellation, so the jobs read last include every job that is cancelled here
            readChanges(
                    StoreRecords.CANCELLATIONS,
                    cancellationsVersion,
                    cancellations -> readChanges(StoreRecords.JOBS, jobsVersion, jobs -> apply(jobs, cancellations)));
        }
    }

    private void readChanges(String table, long after, Consumer<RowChanges> changed) {
        deliver(feed.changes(table, after, 0), changes -> {
            if (changes.historyLost()) {
                reload(table, after);
            } else {
                changed.accept(changes);
            }
        });
    }

    private void apply(RowChanges changedJobs, RowChanges cancellations) {
        jobsVersion = Math.max(jobsVersion, changedJobs.version());
        List<Job> jobs = new ArrayList<>();
        changedJobs.rows().stream()
                .filter(row -> !row.removed() && StoreRecords.decodeEnded(row).isEmpty())
                .forEach(row -> records.job(row).ifPresent(jobs::add));
        accept.accept(jobs);
        cancellationsVersion = Math.max(cancellationsVersion, cancellations.version());
        cancellations.rows().stream().filter(row -> !row.removed()).forEach(row -> cancel.accept(row.key()));
        polling = false;
    }

    private void reload(String table, long after) {
        LOG.warn("change history no longer available; reloading all jobs table={} after={}", table, after);
        deliver(load.get(), loaded -> {
            polling = false;
            continueAfter(loaded);
            accept.accept(loaded.jobs().stream().map(stored -> stored.job()).toList());
            loaded.jobs().stream()
                    .filter(stored -> stored.cancelled())
                    .forEach(stored -> cancel.accept(stored.job().id()));
            loaded.unmatchedCancellations().keySet().forEach(cancel);
        });
    }

    /**
     * Continues after the records of a load. It reads the tables in no order, so it may contain the cancellation of a
     * job that it lacks: cancellations are read again from the version up to which it contains the jobs.
     */
    private void continueAfter(TermStore.Loaded loaded) {
        jobsVersion = loaded.jobsVersion();
        cancellationsVersion = Math.min(loaded.jobsVersion(), loaded.cancellationsVersion());
    }

    /** Passes a reply on; the store's client logs a failed call, and the next poll repeats it. */
    private <T> void deliver(Mono<T> call, Consumer<T> then) {
        call.subscribe(
                answer -> loop.execute(() -> handle(answer, then)), error -> loop.execute(() -> polling = false));
    }

    /** Handles a reply; polling continues after an unexpected error. */
    private <T> void handle(T answer, Consumer<T> then) {
        boolean handled = false;
        try {
            then.accept(answer);
            handled = true;
        } finally {
            polling &= handled;
        }
    }

    /** Reads changes from the store. */
    @FunctionalInterface
    interface Feed {
        /** Returns the changes of a table after a version, at the latest after the given milliseconds. */
        Mono<RowChanges> changes(String table, long after, long waitMs);
    }
}
