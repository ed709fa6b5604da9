package org.acaciafold.coordination;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;

/** Finds the row of a job in the table, even after the job has moved or ended. */
final class JobLookup {
    private static final int MAX_MOVES = 16;

    private final HostState state;
    private final Outbox outbox;

    private JobLookup(HostState state, Outbox outbox) {
        this.state = state;
        this.outbox = outbox;
    }

    static JobLookup of(HostState state, Outbox outbox) {
        return new JobLookup(state, outbox);
    }

    /**
     * Finds the row of a job.
     *
     * @param job the job
     * @param then receives the result
     */
    void find(JobId job, Consumer<Result> then) {
        read(job, JobIds.firstHome(job), 0, then);
    }

    private void read(JobId job, SliceId slice, int moves, Consumer<Result> then) {
        String active = JobRow.key(slice, job);
        String ended = JobRow.endedKey(job);
        outbox.call(state.clock().nowMs(), new TableRequest.Read(List.of(active, ended)), reply -> {
            if (!(reply instanceof TableReply.Rows rows)) {
                then.accept(new Result.Unavailable());
                return;
            }
            Optional<Row> row = rows.rows().stream()
                    .filter(found -> found.key().equals(ended))
                    .findFirst()
                    .or(() -> rows.rows().stream().findFirst());
            Optional<JobRow> content = row.flatMap(JobRow::read);
            Optional<SliceId> moved = content.flatMap(JobRow::movedTo);
            if (content.isEmpty()) {
                then.accept(new Result.Absent());
            } else if (moved.isPresent() && !row.get().key().equals(ended) && moves < MAX_MOVES) {
                read(job, moved.get(), moves + 1, then);
            } else {
                boolean hasEnded = row.get().key().equals(ended);
                then.accept(new Result.Found(content.get(), row.get().version(), slice, hasEnded));
            }
        });
    }

    /** The result of a lookup. */
    sealed interface Result {
        /**
         * The job has a row.
         *
         * @param row the content of the row
         * @param version the version of the row
         * @param home the slice in which the job is homed
         * @param ended whether the job has ended
         */
        record Found(JobRow row, long version, SliceId home, boolean ended) implements Result {}

        /** The job has no row. */
        record Absent() implements Result {}

        /** The table did not reply. */
        record Unavailable() implements Result {}
    }
}
